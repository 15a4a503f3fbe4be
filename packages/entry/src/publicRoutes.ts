import {
    cancelAnswerSchema,
    configHistoryAnswerSchema,
    directAnswerSchema,
    jobsAnswerSchema,
    statusAnswerSchema,
} from "@persimmonpitch/schema/apiAnswers.js";
import { configurationBodySchema, configurationSchema } from "@persimmonpitch/schema/configuration.js";
import { directRequestBodySchema } from "@persimmonpitch/schema/directRequest.js";
import { historyRecordSchema } from "@persimmonpitch/schema/historyRecord.js";
import { jobRecordSchema, jobRequestSchema } from "@persimmonpitch/schema/job.js";
import { problemSchema } from "@persimmonpitch/schema/problem.js";
import type { FastifyInstance } from "fastify";
import * as z from "zod";
import type { ApiContext } from "./apiContext.js";

const SCHEMAS = {
    jobRequest: jobRequestSchema,
    jobRecord: jobRecordSchema,
    jobs: jobsAnswerSchema,
    cancelAnswer: cancelAnswerSchema,
    directRequest: directRequestBodySchema,
    directAnswer: directAnswerSchema,
    historyRecord: historyRecordSchema,
    problem: problemSchema,
    configuration: configurationSchema,
    configurationBody: configurationBodySchema,
    configHistory: configHistoryAnswerSchema,
    status: statusAnswerSchema,
} as const;

/** Adds the routes that require no token: the schemas, liveness and readiness. */
export const addPublicRoutes = (server: FastifyInstance, context: ApiContext): void => {
    const schemas = Object.fromEntries(
        Object.entries(SCHEMAS).map(([name, schema]) => [name, z.toJSONSchema(schema, { io: "input" })]),
    );
    server.get("/v1/schema", () => schemas);
    server.get("/healthz", () => ({ status: "alive" }));
    server.get("/readyz", (_req, res) => {
        const isReady = context.configStore.configuration !== undefined && !context.isShuttingDown();
        return res.code(isReady ? 200 : 503).send({
            ready: isReady,
            configVersion: context.configStore.version,
            epoch: context.leaseGranter.highestEpoch,
            holder: context.role.epoch === undefined ? context.leaseGranter.holderPeerId : context.entryId,
        });
    });
};
