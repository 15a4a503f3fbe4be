import fc from "fast-check";
import t from "tap";
import type * as z from "zod";
import { ENTRY, SEED, startCall, startSmall } from "./apiFixture.js";
import { brokenText, INPUTS, oddValue, oneFieldChanged } from "./apiMalformed.js";

/** A route that takes a body. */
export interface BodyRoute {
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

/** Sends malformed bodies: none may get a 500, and none may be accepted that the schema forbids. */
export const testMalformedBodies = (name: string, route: BodyRoute): void => {
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
};

const parse = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
