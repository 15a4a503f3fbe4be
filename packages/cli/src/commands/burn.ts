import { burnAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import type { BurnAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import { formatTable } from "../formatTable.js";
import { readingCommand } from "../readingCommand.js";

const MILLIS_PER_MINUTE = 60_000;
const MINUTES_PER_HOUR = 60;

const formatPercent = (share: number): string => `${Number((share * 100).toFixed(3))}%`;

const formatWindow = (windowMs: number): string => {
    const minutes = windowMs / MILLIS_PER_MINUTE;
    return minutes >= MINUTES_PER_HOUR ? `${minutes / MINUTES_PER_HOUR} h` : `${minutes} min`;
};

const formatBurn = ({ objectives }: BurnAnswer): string =>
    formatTable(
        ["objective", "class", "target", "total", "bad", "budget spent", "burn rates"],
        objectives.map(({ name, workClass, target, total, bad, budgetSpent, windows }) => [
            name,
            workClass,
            formatPercent(target),
            total,
            bad,
            formatPercent(budgetSpent),
            windows.map(({ windowMs, burnRate }) => `${formatWindow(windowMs)}: ${burnRate.toFixed(2)}`).join(", "),
        ]),
    );

/** Shows how fast the error budgets are spent. */
export const burn = readingCommand({
    summary: "shows objectives, error budgets and burn rates",
    args: [],
    pathOf: () => "/v1/admin/burn",
    schema: burnAnswerSchema,
    format: formatBurn,
});
