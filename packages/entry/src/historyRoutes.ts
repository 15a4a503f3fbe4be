import { exportHistory } from "@persimmonpitch/history/exportHistory.js";
import type { FastifyInstance, FastifyReply } from "fastify";
import { Readable } from "node:stream";
import type { ApiContext } from "./apiContext.js";
import { requireTeam } from "./apiContext.js";

/** Streams the complete history of a team. A stream that ends without its manifest line is incomplete. */
export const sendHistory = (context: ApiContext, team: string, res: FastifyReply): FastifyReply => {
    const { table, clock, logger } = context;
    const lines = Readable.from(exportHistory({ table, clock, team }));
    lines.on("error", err => {
        logger.log("warn", "history.exportFailed", { team, detail: err.message });
    });
    return res.type("application/x-ndjson").send(lines);
};

/** Adds the route with which a team exports its own history. */
export const addHistoryRoutes = (server: FastifyInstance, context: ApiContext): void => {
    server.get("/v1/history", (req, res) => sendHistory(context, requireTeam(context, req), res));
};
