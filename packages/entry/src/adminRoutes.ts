import { burnReportOf } from "@persimmonpitch/burn/burnReport.js";
import { rowKeys } from "@persimmonpitch/scheduler/rowKeys.js";
import type { ConfigHistoryAnswer, DrainAnswer, StatusAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import type { Configuration, ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { configurationBodySchema, configurationSchema } from "@persimmonpitch/schema/configuration.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import type { FastifyInstance } from "fastify";
import * as z from "zod";
import type { ApiContext } from "./apiContext.js";
import { requireConfiguration, requireOperator } from "./apiContext.js";
import { checkConfiguration } from "./checkConfiguration.js";
import { sendHistory } from "./historyRoutes.js";
import { cancelJob, parseOrThrow, toTableProblem } from "./jobRoutes.js";
import { ProblemError } from "./problems.js";
import { buildStatus } from "./statusReport.js";

const IF_MATCH = /^"?(\d+)"?$/;
const VERSION_PAGE_SIZE = 500;

/** Number of version conflicts with loads by other operators after which a drain fails. */
const MAX_DRAIN_CONFLICTS = 8;

/** Checks and loads a configuration; findings, a version conflict and a failed write are thrown as problems. */
const loadConfiguration = async (
    context: ApiContext,
    body: ConfigurationBody,
    expectedVersion: number,
    operator: string,
): Promise<Configuration> => {
    const findings = checkConfiguration(body, context.configStore.configuration?.body.drained ?? []);
    if (findings.length > 0) {
        throw new ProblemError("invalidConfiguration", { count: findings.length }, { findings: [...findings] });
    }
    const loaded = await context.configStore.load(body, expectedVersion, operator);
    if (loaded.isErr && loaded.error.kind === "versionConflict") {
        const { currentVersion } = loaded.error;
        throw new ProblemError("versionConflict", { currentVersion, readVersion: expectedVersion }, {
            currentVersion,
            readVersion: expectedVersion,
        });
    }
    if (loaded.isErr) {
        throw toTableProblem(
            loaded.error.kind === "storeUnavailable" ? loaded.error.error : { kind: "unclear", detail: "" },
            true,
        );
    }
    context.logger.log("info", "config.loaded", { version: loaded.value.version, by: operator });
    return loaded.value;
};

const listVersions = async (context: ApiContext): Promise<ConfigHistoryAnswer> => {
    const versions: ConfigHistoryAnswer["versions"] = [];
    let lastKey: string | undefined;
    do {
        const page = await context.table.scan(rowKeys.configVersionPrefix, lastKey, VERSION_PAGE_SIZE);
        if (page.isErr) {
            throw toTableProblem(page.error, false);
        }
        for (const { value } of page.value.rows) {
            const { version, loadedAt, loadedBy } = configurationSchema.parse(value);
            versions.push({ version, loadedAt, loadedBy });
        }
        lastKey = page.value.next;
    }
    while (lastKey !== undefined);
    return { versions };
};

const isVersionConflict = (err: unknown): boolean =>
    err instanceof ProblemError && err.problem.code === "versionConflict";

/** Drains a VM. The call names no configuration version, so the drain is retried on the version then in force. */
const drainVm = async (context: ApiContext, vmId: string, operator: string): Promise<DrainAnswer> => {
    for (let conflicts = 0;; conflicts += 1) {
        const refreshed = await context.configStore.refresh();
        if (refreshed.isErr) {
            throw toTableProblem(refreshed.error, false);
        }
        try {
            return await tryDrainVm(context, vmId, operator);
        }
        catch (err) {
            if (!isVersionConflict(err) || conflicts >= MAX_DRAIN_CONFLICTS) {
                throw err;
            }
        }
    }
};

const tryDrainVm = async (context: ApiContext, vmId: string, operator: string): Promise<DrainAnswer> => {
    const { body, version } = requireConfiguration(context);
    if (!body.vms.some(({ id }) => id === vmId)) {
        throw new ProblemError("notFound", { what: `VM ${vmId}` });
    }
    if (body.drained.includes(vmId)) {
        return { vmId, configVersion: version };
    }
    const newBody = { ...body, drained: [...body.drained, vmId] };
    return { vmId, configVersion: (await loadConfiguration(context, newBody, version, operator)).version };
};

/** Adds the routes for operators. */
export const addAdminRoutes = (server: FastifyInstance, context: ApiContext): void => {
    server.get("/v1/admin/config", (req, res) => {
        requireOperator(context, req);
        const configuration = requireConfiguration(context);
        return res.header("etag", `"${configuration.version}"`).send(configuration);
    });
    server.put("/v1/admin/config", async (req, res) => {
        const operator = requireOperator(context, req);
        const readVersion = IF_MATCH.exec(req.headers["if-match"] ?? "")?.[1];
        if (readVersion === undefined) {
            throw new ProblemError("versionRequired");
        }
        const body = parseOrThrow(configurationBodySchema, req.body);
        const configuration = await loadConfiguration(context, body, Number(readVersion), operator);
        return res.header("etag", `"${configuration.version}"`).send(configuration);
    });
    server.get("/v1/admin/config/history", req => {
        requireOperator(context, req);
        return listVersions(context);
    });
    server.get("/v1/admin/status", (req): Promise<StatusAnswer> => {
        requireOperator(context, req);
        return buildStatus(context);
    });
    server.get("/v1/admin/burn", req => {
        requireOperator(context, req);
        return burnReportOf(context.burnRecorder, context.clock.now() - context.startedAt);
    });
    server.post("/v1/admin/vms/:vmId/drain", req => {
        const operator = requireOperator(context, req);
        const { vmId } = parseOrThrow(z.object({ vmId: identifierSchema }), req.params);
        return drainVm(context, vmId, operator);
    });
    server.post("/v1/admin/jobs/:jobId/cancel", req => {
        requireOperator(context, req);
        const { jobId } = parseOrThrow(z.object({ jobId: identifierSchema }), req.params);
        return cancelJob(context, jobId, () => true);
    });
    server.get("/v1/admin/teams/:team/history", (req, res) => {
        requireOperator(context, req);
        const { team } = parseOrThrow(z.object({ team: identifierSchema }), req.params);
        return sendHistory(context, team, res);
    });
};
