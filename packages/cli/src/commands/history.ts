import { configHistoryAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import { formatTable, formatTime } from "../formatTable.js";
import { readingCommand } from "../readingCommand.js";

/** Lists the versions of the configuration. */
export const history = readingCommand({
    summary: "lists the versions of the configuration",
    args: [],
    pathOf: () => "/v1/admin/config/history",
    schema: configHistoryAnswerSchema,
    format: ({ versions }) =>
        formatTable(
            ["version", "loaded at", "loaded by"],
            versions.map(({ version, loadedAt, loadedBy }) => [version, formatTime(loadedAt), loadedBy]),
        ),
});
