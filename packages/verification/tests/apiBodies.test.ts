import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";
import { directRequestBodySchema } from "@persimmonpitch/schema/directRequest.js";
import { jobRequestSchema } from "@persimmonpitch/schema/job.js";
import fc from "fast-check";
import t from "tap";
import type { z } from "zod";
import { createSmallBody, TOKENS } from "../src/smallBody.js";
import { ENTRY, jobBody, requestBody, REQUESTS_URL, SEED, startCall, startSmall } from "./apiFixture.js";
import { brokenText, INPUTS, oddValue, oneFieldChanged } from "./apiMalformed.js";

interface BodyRoute {
    readonly method: "POST" | "PUT";
    readonly url: string;
    readonly token: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly schema: z.ZodType;
    readonly valid: readonly object[];
    /** Answers to a body that the schema allows; none of these calls waits. */
    readonly whenAllowed: readonly number[];
    /** Where bodies that the schema allows are sent, when the route itself would wait. */
    readonly allowedUrl?: string;
}

const ROUTES: Readonly<Record<string, BodyRoute>> = {
    jobs: {
        method: "POST",
        url: "/v1/jobs",
        token: TOKENS.alpha,
        schema: jobRequestSchema,
        valid: [jobBody("key", { neededBy: 1_764_000_100_000, checkpointable: true }), jobBody("other")],
        whenAllowed: [202],
    },
    requests: {
        method: "POST",
        url: REQUESTS_URL,
        token: TOKENS.alpha,
        schema: directRequestBodySchema,
        valid: [requestBody("key"), requestBody("once", { idempotent: false })],
        whenAllowed: [404],
        allowedUrl: "/v1/services/none/requests",
    },
    configuration: {
        method: "PUT",
        url: "/v1/admin/config",
        token: TOKENS.operator,
        headers: { "if-match": "7" },
        schema: configurationBodySchema,
        valid: [createSmallBody()],
        whenAllowed: [412, 422],
    },
};

// Guards against a 500, and against a body that is accepted although its schema forbids it.
for (const [name, route] of Object.entries(ROUTES)) {
    void t.test(`${INPUTS} malformed bodies for ${name}`, async t => {
        const deployment = await startSmall();
        const { method, url, token, schema, valid, whenAllowed, allowedUrl = url } = route;
        const texts = fc.oneof(
            { weight: 6, arbitrary: oneFieldChanged(valid).map(value => JSON.stringify(value)) },
            { weight: 2, arbitrary: oddValue.map(value => JSON.stringify(value)) },
            { weight: 2, arbitrary: brokenText(valid) },
        );
        const seen: Record<string, number> = {};
        await fc.assert(
            fc.asyncProperty(texts, async text => {
                const isAllowed = schema.safeParse(parse(text)).success;
                const headers = { ...route.headers, "content-type": "application/json" };
                const before = deployment.table.counts.writes;
                const call = { method, url: isAllowed ? allowedUrl : url, token, payload: text, headers };
                const { status } = await startCall(deployment, ENTRY, call);
                seen[status] = (seen[status] ?? 0) + 1;
                const isUnchanged = deployment.table.counts.writes === before;
                return isAllowed ? whenAllowed.includes(status) : status === 400 && isUnchanged;
            }),
            { seed: SEED, numRuns: INPUTS, endOnFailure: true },
        );
        t.same(Object.keys(seen).filter(status => status !== "400" && !whenAllowed.includes(Number(status))), []);
        t.matchSnapshot(Object.keys(seen), "statuses that occurred");
        await deployment.stop();
    });
}

const parse = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
