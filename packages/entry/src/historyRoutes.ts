import type { FastifyInstance, FastifyReply } from "fastify";
import type { ApiContext } from "./apiContext.js";
import { requireTeam } from "./apiContext.js";
import { tableProblem } from "./jobRoutes.js";

const PAGE = 500;

/** Streams the whole history of a team. */
export const sendHistory = async (context: ApiContext, team: string, res: FastifyReply): Promise<FastifyReply> => {
    const lines: string[] = [];
    let after: string | undefined;
    do {
        const page = await context.table.scan(`history/${team}/`, after, PAGE);
        if (page.isErr) {
            throw tableProblem(page.error, false);
        }
        lines.push(...page.value.rows.map(({ value }) => JSON.stringify(value)));
        after = page.value.next;
    }
    while (after !== undefined);
    return res.type("application/x-ndjson").send(lines.join("\n"));
};

/** Adds the route for a team's own history. */
export const addHistoryRoutes = (server: FastifyInstance, context: ApiContext): void => {
    server.get("/v1/history", (req, res) => sendHistory(context, requireTeam(context, req), res));
};
