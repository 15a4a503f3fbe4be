import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { InProcessDeployment } from "../src/inProcessDeployment.js";
import { seededRandom } from "../src/seededRandom.js";
import { createSmallBody, SERVICE, TOKENS } from "../src/smallBody.js";

export const SEED = 20_261_204;
export const ENTRY = "entry-1";
export const REQUESTS_URL = `/v1/services/${SERVICE}/requests`;

/** One HTTP call of a table of cases. */
export interface ApiCall {
    readonly method: "GET" | "POST" | "PUT" | "HEAD" | "DELETE" | "PATCH" | "OPTIONS";
    readonly url: string;
    readonly token?: string;
    /** An object is sent as JSON, a string as it is. */
    readonly payload?: object | string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** What a caller sees of an answer. */
export interface ApiAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: unknown;
}

/** Headers that are part of the contract with callers. */
const SHOWN_HEADERS = ["content-type", "location", "etag", "retry-after", "www-authenticate", "allow"];

export const startSmall = async (body: ConfigurationBody = createSmallBody()): Promise<InProcessDeployment> => {
    const deployment = new InProcessDeployment({ body, entryIds: [ENTRY, "entry-2"], random: seededRandom(SEED) });
    await deployment.start();
    return deployment;
};

/** Starts a call; its answer arrives while the clock advances. */
export const startCall = async (
    deployment: InProcessDeployment,
    entryId: string,
    call: ApiCall,
): Promise<ApiAnswer> => {
    const { method, url, token, payload, headers } = call;
    const answer = await deployment.entry(entryId).http.inject({
        method,
        url,
        headers: { ...(token === undefined ? {} : { authorization: `Bearer ${token}` }), ...headers },
        ...(payload === undefined ? {} : { payload }),
    });
    const shown = SHOWN_HEADERS.flatMap(name => {
        const value = answer.headers[name];
        return value === undefined ? [] : [[name, String(value)] as const];
    });
    return { status: answer.statusCode, headers: Object.fromEntries(shown), body: parseBody(answer.body) };
};

/** Makes a call and advances the clock until its answer is there. */
export const callApi = (deployment: InProcessDeployment, call: ApiCall, entryId = ENTRY): Promise<ApiAnswer> => {
    let answer: ApiAnswer | undefined;
    void startCall(deployment, entryId, call).then(received => {
        answer = received;
    });
    return deployment.runUntil(() => answer);
};

/** The lines of an exported history. */
export const exportLines = async (deployment: InProcessDeployment, call: ApiCall): Promise<readonly string[]> => {
    // An export of one line parses as JSON, so it is put back into a line.
    const { body } = await callApi(deployment, call);
    return (typeof body === "string" ? body : JSON.stringify(body)).trimEnd().split("\n");
};

const parseBody = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
};

const SUBJECT_ID = /\b([jr])[0-9a-z]{9}-[0-9a-f]{8}-[0-9a-f]{4}\b(?:[.-][0-9a-z.]+)?/g;
const TIME_KEYS = new Set(["at", "submittedAt", "claimedAt", "loadedAt", "exportedAt"]);

/** An answer with its ids and times replaced, so that it is the same on every run. */
export const maskAnswer = (value: unknown): unknown =>
    JSON.parse(
        JSON.stringify(
            value,
            (key, item: unknown) => TIME_KEYS.has(key) && typeof item === "number" ? "TIME" : item,
        ).replace(SUBJECT_ID, "$1-ID"),
    );

export const jobBody = (requestKey: string, change: object = {}): object => ({
    workClass: "batch",
    gang: { vms: 1, acceleratorsPerVm: 1 },
    declaredRunMs: 5_000,
    idempotent: true,
    requestKey,
    payload: JSON.stringify({ runMs: 5_000 }),
    ...change,
});

export const requestBody = (requestKey: string, change: object = {}): object => ({
    workClass: "interactive",
    idempotent: true,
    requestKey,
    timeoutMs: 5_000,
    body: "sketch-17",
    ...change,
});

/** A call of the team alpha. */
export const alpha = (method: ApiCall["method"], url: string, payload?: object | string): ApiCall => ({
    method,
    url,
    token: TOKENS.alpha,
    ...(payload === undefined ? {} : { payload }),
});

/** A call of the operator. */
export const operator = (
    method: ApiCall["method"],
    url: string,
    payload?: object | string,
    headers: Readonly<Record<string, string>> = {},
): ApiCall => ({ method, url, token: TOKENS.operator, headers, ...(payload === undefined ? {} : { payload }) });
