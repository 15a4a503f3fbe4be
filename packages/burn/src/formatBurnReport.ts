/** The burn report as aligned text for a terminal. */
import type { BurnReport, ClassBurn } from "./burnReport.js";

const HOUR_MS = 3_600_000;
const COLUMN_GAP = "  ";

const percent = (share: number): string => `${(share * 100).toFixed(1)}%`;

/** Shortens 0.99 to 99% and 0.999 to 99.9%. */
const objectivePercent = (share: number): string => `${Number((share * 100).toFixed(3))}%`;

const headerOf = ({ classes }: BurnReport): readonly string[] => [
    "class",
    "objective",
    "good",
    "bad",
    "budget spent",
    ...(classes[0]?.windows ?? []).map(({ window }) => `burn ${window}`),
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "alert",
];

const rowOf = ({ objective, good, bad, budgetSpent, windows, alert, latencyMs }: ClassBurn): readonly string[] => [
    objective.workClass,
    `${objectivePercent(objective.goodShare)} in ${objective.withinMs} ms, ${objective.budgetDays} d`,
    String(good),
    String(bad),
    percent(budgetSpent),
    ...windows.map(({ burnRate }) => burnRate.toFixed(2)),
    String(latencyMs.p50),
    String(latencyMs.p95),
    String(latencyMs.p99),
    alert,
];

/** Text columns stand left, numbers right. */
const isNumber = (cell: string): boolean => /^[\d.]+%?$/.test(cell);

const alignColumns = (rows: readonly (readonly string[])[]): string => {
    const widths = (rows[0] ?? []).map((unused, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    const numeric = widths.map((unused, column) => rows.slice(1).every(row => isNumber(row[column] ?? "")));
    return rows
        .map(row =>
            row
                .map((cell, column) => {
                    const width = widths[column] ?? 0;
                    return numeric[column] === true ? cell.padStart(width) : cell.padEnd(width);
                })
                .join(COLUMN_GAP)
                .trimEnd()
        )
        .join("\n");
};

/** Formats the report with one line for each class. */
export const formatBurnReport = (report: BurnReport): string => {
    const hours = (report.coveredMs / HOUR_MS).toFixed(1);
    const covered = `The process has run for ${hours} h; counts reach back no further.`;
    return report.classes.length === 0
        ? `${covered}\nNo objectives are set.\n`
        : `${covered}\n${alignColumns([headerOf(report), ...report.classes.map(rowOf)])}\n`;
};
