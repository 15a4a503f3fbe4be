import { burnReportSchema } from "@persimmonpitch/burn/burnReport.js";
import { formatBurnReport } from "@persimmonpitch/burn/formatBurnReport.js";
import { readingCommand } from "../readingCommand.js";

/** Shows how fast the error budgets are spent. */
export const burn = readingCommand({
    summary: "shows objectives, error budgets and burn rates",
    args: [],
    pathOf: () => "/v1/admin/burn",
    schema: burnReportSchema,
    format: formatBurnReport,
});
