import type { Measured } from "./measurement.js";

const DIGITS = 4;

/** A number with a few significant digits and without an exponent. */
export const formatNumber = (value: number): string => {
    const rounded = Number(value.toPrecision(DIGITS));
    return Math.abs(rounded) < 1e-6 ? "0" : rounded.toLocaleString("en-US", { maximumSignificantDigits: DIGITS });
};

/** Rows as columns of equal width. */
export const alignRows = (rows: readonly (readonly string[])[]): string => {
    const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd()).join("\n");
};

/** The points and the fits of one measurement as text. */
export const formatMeasured = ({ name, sizeUnit, points, series }: Measured): string => {
    const header = [
        `${name} (per ${sizeUnit})`,
        ...points.map(({ size }) => String(size)),
        "slope",
        "intercept",
        "residual",
    ];
    const rows = series.map(({ figure, fit }) => [
        figure,
        ...points.map(({ values }) => formatNumber(values[figure] ?? 0)),
        formatNumber(fit.slope),
        formatNumber(fit.intercept),
        formatNumber(fit.residual),
    ]);
    return alignRows([header, ...rows]);
};

/** The fits of one measurement as a Markdown table. */
export const formatMeasuredMarkdown = ({ name, sizeUnit, points, series }: Measured): string => {
    const header = ["figure", ...points.map(({ size }) => `at ${size}`), "slope", "intercept", "residual"];
    const rows = series.map(({ figure, fit }) => [
        figure,
        ...points.map(({ values }) => formatNumber(values[figure] ?? 0)),
        ...[fit.slope, fit.intercept, fit.residual].map(formatNumber),
    ]);
    const table = [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`).join("\n");
    return `### ${name}\n\n\`npm run capacity -- --only ${name}\`; per ${sizeUnit}.\n\n${table}`;
};
