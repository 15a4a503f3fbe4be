import * as z from "zod";
import { FitBook, MissingFigure } from "./fitBook.js";
import type { Measured } from "./measurement.js";
import { alignRows, formatNumber } from "./report.js";
import type { VerdictRule } from "./verdictTable.js";
import { VERDICT_RULES } from "./verdictTable.js";

/** How a figure stands to its budget. */
export const standingSchema = z.enum(["within", "over", "no budget", "unresolved", "not measured"]);
export type Standing = z.infer<typeof standingSchema>;

/** A figure with its budget. */
export const verdictSchema = z.object({
    role: z.string(),
    figure: z.string(),
    unit: z.string(),
    value: z.number().optional(),
    budget: z.number().optional(),
    standing: standingSchema,
    from: z.array(z.string()),
});
export type Verdict = z.infer<typeof verdictSchema>;

const valueOf = ({ value }: VerdictRule, book: FitBook): number | undefined => {
    try {
        return value(book);
    }
    catch (err) {
        if (err instanceof MissingFigure) {
            return undefined;
        }
        throw err;
    }
};

const standingOf = (value: number | undefined, budget: number | undefined): Standing => {
    if (value === undefined) {
        return "not measured";
    }
    // Noise can tilt a line so far that it falls below zero beyond the measured sizes.
    if (value < 0) {
        return "unresolved";
    }
    if (budget === undefined) {
        return "no budget";
    }
    return value <= budget ? "within" : "over";
};

/** Works out each figure from the slopes of a run. */
export const judge = (measured: readonly Measured[], rules: readonly VerdictRule[] = VERDICT_RULES): Verdict[] => {
    const book = new FitBook(measured);
    return rules.map(rule => {
        const { role, figure, unit, budget, from } = rule;
        const value = valueOf(rule, book);
        return {
            ...{ role, figure, unit, from: [...from], standing: standingOf(value, budget) },
            ...value === undefined ? {} : { value },
            ...budget === undefined ? {} : { budget },
        };
    });
};

const HEADER = ["role", "figure", "value", "unit", "budget", "verdict", "measured by"];

const cellsOf = ({ role, figure, unit, value, budget, standing, from }: Verdict): readonly string[] => [
    role,
    figure,
    value === undefined ? "" : formatNumber(value),
    unit,
    budget === undefined ? "" : formatNumber(budget),
    standing,
    from.join(", "),
];

/** The verdicts as aligned text. */
export const formatVerdicts = (verdicts: readonly Verdict[]): string => alignRows([HEADER, ...verdicts.map(cellsOf)]);

/** The verdicts as a Markdown table. */
export const formatVerdictsMarkdown = (verdicts: readonly Verdict[]): string =>
    [HEADER, HEADER.map(() => "---"), ...verdicts.map(cellsOf)].map(cells => `| ${cells.join(" | ")} |`).join("\n");
