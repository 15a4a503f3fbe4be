import { verifyHistory } from "@persimmonpitch/history/verifyHistory.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import { createSmallBody, TOKENS } from "../src/smallBody.js";
import type { ApiAnswer, ApiCall } from "./apiFixture.js";
import {
    alpha,
    callApi,
    ENTRY,
    exportLines,
    jobBody,
    maskAnswer,
    operator,
    requestBody,
    REQUESTS_URL,
    startCall,
    startSmall,
} from "./apiFixture.js";

t.formatSnapshot = formatSnapshot;

const idOf = ({ body }: ApiAnswer): string => (body as { readonly jobId: string; }).jobId;

const TEAM_ROUTES: readonly (readonly [ApiCall["method"], string, (object | string)?])[] = [
    ["POST", "/v1/jobs", jobBody("auth")],
    ["GET", "/v1/jobs"],
    ["GET", "/v1/jobs/JOB"],
    ["GET", "/v1/jobs/JOB/wait?timeoutMs=1"],
    ["POST", "/v1/jobs/JOB/cancel"],
    ["POST", REQUESTS_URL, requestBody("auth-request")],
    ["GET", "/v1/history"],
];
const OPERATOR_ROUTES: typeof TEAM_ROUTES = [
    ["GET", "/v1/admin/config"],
    ["PUT", "/v1/admin/config", createSmallBody()],
    ["GET", "/v1/admin/config/history"],
    ["GET", "/v1/admin/status"],
    ["GET", "/v1/admin/burn"],
    ["POST", "/v1/admin/vms/worker-1/drain"],
    ["POST", "/v1/admin/jobs/JOB/cancel"],
    ["GET", "/v1/admin/teams/alpha/history"],
];
const PUBLIC_ROUTES: typeof TEAM_ROUTES = [["GET", "/v1/schema"], ["GET", "/healthz"], ["GET", "/readyz"]];
const CALLERS: Readonly<Record<string, { readonly token?: string; readonly headers?: Record<string, string>; }>> = {
    none: {},
    unknown: { token: "token-unknown" },
    basic: { headers: { authorization: "Basic YWxwaGE6YWxwaGE=" } },
    other: { token: TOKENS.beta },
    alpha: { token: TOKENS.alpha },
    operator: { token: TOKENS.operator },
};

// Guards against a route without its check: a team that sees or cancels another team's job, or acts as an operator.
void t.test("who may call which route", async t => {
    const deployment = await startSmall();
    const jobId = idOf(await callApi(deployment, alpha("POST", "/v1/jobs", jobBody("owned", { declaredRunMs: 1e6 }))));
    const rows: string[] = [];
    for (const [method, url, payload] of [...TEAM_ROUTES, ...OPERATOR_ROUTES, ...PUBLIC_ROUTES]) {
        const answers: string[] = [];
        for (const [name, caller] of Object.entries(CALLERS)) {
            const sent = payload === undefined ? {} : { payload };
            const answer = await callApi(deployment, { method, url: url.replace("JOB", jobId), ...sent, ...caller });
            answers.push(`${name} ${answer.status}`);
        }
        rows.push(`${method} ${url}: ${answers.join(", ")}`);
    }
    t.matchSnapshot(rows.join("\n"));
    await deployment.stop();
});

const CALLS: Readonly<Record<string, ApiCall>> = {
    "job with every field wrong": alpha("POST", "/v1/jobs", {
        workClass: "rush",
        gang: { vms: 0, acceleratorsPerVm: 65, adjacency: "near" },
        declaredRunMs: 0,
        idempotent: "yes",
        requestKey: "a/b",
        payload: 7,
        team: "beta",
    }),
    "job without a body": alpha("POST", "/v1/jobs"),
    "job that is not JSON": { ...alpha("POST", "/v1/jobs", "{"), headers: { "content-type": "application/json" } },
    "cancellation with an empty JSON body": {
        ...alpha("POST", "/v1/jobs/j-none/cancel"),
        headers: { "content-type": "application/json" },
    },
    "job of another content type": { ...alpha("POST", "/v1/jobs", "a"), headers: { "content-type": "text/csv" } },
    "job larger than 1 MiB": alpha("POST", "/v1/jobs", jobBody("large", { payload: "x".repeat(1024 * 1024) })),
    "payload larger than 256 KiB": alpha("POST", "/v1/jobs", jobBody("long", { payload: "x".repeat(256 * 1024 + 1) })),
    "job id that is none": alpha("GET", "/v1/jobs/%20"),
    "job that does not exist": alpha("GET", "/v1/jobs/j-none"),
    "wait longer than allowed": alpha("GET", "/v1/jobs/j-none/wait?timeoutMs=60001"),
    "wait for a word": alpha("GET", "/v1/jobs/j-none/wait?timeoutMs=soon"),
    "unknown path": alpha("GET", "/v1/nothing"),
    "method that the path does not have": alpha("DELETE", "/v1/jobs"),
    "head of a resource": alpha("HEAD", "/v1/jobs"),
    "without a token": { method: "GET", url: "/v1/jobs" },
    "operator as a team": operator("GET", "/v1/jobs"),
    "request with every field wrong": alpha("POST", REQUESTS_URL, { workClass: 1, timeoutMs: 600_001, extra: true }),
    "request to a service that is none": alpha("POST", "/v1/services/none/requests", requestBody("none")),
    "configuration without a version": operator("PUT", "/v1/admin/config", createSmallBody()),
    "configuration with a weak version": operator("PUT", "/v1/admin/config", createSmallBody(), {
        "if-match": "W/\"1\"",
    }),
    "configuration with every part wrong": operator("PUT", "/v1/admin/config", {
        vms: [{ id: "worker 1" }],
        teams: {},
        guarantees: [{ team: "alpha", name: "gang", shape: { vms: 1, acceleratorsPerVm: 1 }, count: 0 }],
        rules: { preemptionGraceMs: 2_501 },
    }, { "if-match": "1" }),
    "configuration that promises more than there is": operator("PUT", "/v1/admin/config", {
        ...createSmallBody(),
        guarantees: [
            { team: "alpha", name: "gang", shape: { vms: 2, acceleratorsPerVm: 8, adjacency: "rack" }, count: 4 },
            { team: "gamma", name: "none", shape: { vms: 1, acceleratorsPerVm: 9 } },
        ],
    }, { "if-match": "1" }),
    "drain of a VM that is none": operator("POST", "/v1/admin/vms/worker-99/drain"),
};

// Guards against a change in what callers are told of a faulty call: status, code, ran, headers and all findings.
void t.test("faulty calls", async t => {
    const deployment = await startSmall();
    const writes = deployment.table.snapshot().filter(({ key }) => !key.startsWith("role/"));
    for (const [name, call] of Object.entries(CALLS)) {
        t.matchSnapshot(maskAnswer(await callApi(deployment, call)), name);
    }
    t.same(deployment.table.snapshot().filter(({ key }) => !key.startsWith("role/")), writes, "nothing was written");
    await deployment.stop();
});

// Guards against a second job for one request key, and against a key that names two kinds of work.
void t.test("repeated request keys", async t => {
    const deployment = await startSmall();
    const first = await callApi(deployment, alpha("POST", "/v1/jobs", jobBody("key")));
    const again = await callApi(deployment, alpha("POST", "/v1/jobs", jobBody("key")), "entry-2");
    t.equal(idOf(again), idOf(first));
    t.not(
        idOf(await callApi(deployment, { ...alpha("POST", "/v1/jobs", jobBody("key")), token: TOKENS.beta })),
        idOf(first),
    );
    const once = requestBody("once", { idempotent: false });
    t.equal((await callApi(deployment, alpha("POST", REQUESTS_URL, once))).status, 200);
    const refused = {
        "a job's key for a non-idempotent request": alpha(
            "POST",
            REQUESTS_URL,
            requestBody("key", { idempotent: false }),
        ),
        "a request's key for a job": alpha("POST", "/v1/jobs", jobBody("once")),
        "a non-idempotent request again": alpha("POST", REQUESTS_URL, once),
    };
    for (const [name, call] of Object.entries(refused)) {
        t.matchSnapshot(maskAnswer(await callApi(deployment, call)), name);
    }
    await deployment.stop();
});

// Guards against `ran: no` for a job that was accepted: a repeated key finds its job although the queue is full.
void t.test("a full queue", async t => {
    const body = createSmallBody();
    const deployment = await startSmall({ ...body, rules: { ...body.rules, queueLengthPerTeam: 1 } });
    const large = (key: string) => alpha("POST", "/v1/jobs", jobBody(key, { gang: { vms: 6, acceleratorsPerVm: 8 } }));
    await callApi(deployment, large("runs"));
    await deployment.clock.advance(1_000);
    const waits = await callApi(deployment, large("waits"));
    await deployment.clock.advance(3_000);
    for (const entryId of [ENTRY, "entry-2"]) {
        t.matchSnapshot(maskAnswer(await callApi(deployment, large("refused"), entryId)), entryId);
        t.equal(idOf(await callApi(deployment, large("waits"), entryId)), idOf(waits));
    }
    await deployment.stop();
});

// Guards against a process that takes work it cannot check or finish, and against a shutdown that cuts off a request.
void t.test("an entry without a configuration, and one that shuts down", async t => {
    const deployment = await startSmall();
    const calls = [
        { method: "GET", url: "/healthz" },
        { method: "GET", url: "/readyz" },
        alpha("GET", "/v1/jobs"),
        alpha("POST", "/v1/jobs", jobBody("late")),
        operator("GET", "/v1/admin/config"),
    ] as const;
    const record = async (state: string) => {
        for (const call of calls) {
            t.matchSnapshot(maskAnswer(await callApi(deployment, call)), `${call.method} ${call.url} ${state}`);
        }
    };
    deployment.executors.forEach(executor => {
        executor.faults.slow = 3_000;
    });
    let answer: ApiAnswer | undefined;
    void startCall(deployment, ENTRY, alpha("POST", REQUESTS_URL, requestBody("slow"))).then(received => {
        answer = received;
    });
    await deployment.clock.advance(500);
    void deployment.entry(ENTRY).shutdown();
    await record("while it shuts down");
    t.equal((await deployment.runUntil(() => answer)).status, 200, "the request in progress is finished");
    await deployment.clock.advance(20_000);
    deployment.table.faults.down = true;
    deployment.startEntry(ENTRY);
    await deployment.clock.advance(2_000);
    await record("without a configuration");
    await deployment.stop();
});

// Guards against a lost update: of two operators who read one version, one gets 412 with both versions.
void t.test("operators race and drain", async t => {
    const deployment = await startSmall();
    const body = createSmallBody();
    const put = operator("PUT", "/v1/admin/config", body, { "if-match": "\"1\"" });
    const answers: ApiAnswer[] = [];
    for (const entryId of [ENTRY, "entry-2"]) {
        void startCall(deployment, entryId, put).then(answer => answers.push(answer));
    }
    await deployment.runUntil(() => answers.length === 2 ? answers : undefined);
    t.same(answers.map(({ status }) => status).sort(), [200, 412]);
    t.matchSnapshot(maskAnswer(answers.find(({ status }) => status === 412)), "the operator who lost");
    const steps = {
        drain: operator("POST", "/v1/admin/vms/worker-6/drain"),
        "drain again": operator("POST", "/v1/admin/vms/worker-6/drain"),
        versions: operator("GET", "/v1/admin/config/history"),
        status: operator("GET", "/v1/admin/status"),
        burn: operator("GET", "/v1/admin/burn"),
    };
    for (const [name, call] of Object.entries(steps)) {
        t.matchSnapshot(maskAnswer(await callApi(deployment, call)), name);
    }
    await deployment.stop();
});

// Guards against a cancellation that says more than happened, and against a history that is not whole.
void t.test("cancel, wait and history", async t => {
    const deployment = await startSmall();
    const submit = async (key: string, change: object = {}) =>
        idOf(await callApi(deployment, alpha("POST", "/v1/jobs", jobBody(key, change))));
    const waits = (jobId: string) => alpha("GET", `/v1/jobs/${jobId}/wait?timeoutMs=20000`);
    const cancels = (jobId: string) => alpha("POST", `/v1/jobs/${jobId}/cancel`);
    const ends = await submit("ends");
    const stops = await submit("stops", { payload: JSON.stringify({ runMs: 1_000_000 }) });
    const never = await submit("never", { gang: { vms: 7, acceleratorsPerVm: 8 } });
    await deployment.clock.advance(1_000);
    const steps = {
        "wait that ends before the job": alpha("GET", `/v1/jobs/${stops}/wait?timeoutMs=500`),
        "cancel while it runs": cancels(stops),
        "wait for the cancelled job": waits(stops),
        "wait for the end": waits(ends),
        "cancel after the end": cancels(ends),
        "job that can never fit": waits(never),
        "cancel by the operator": operator("POST", `/v1/admin/jobs/${ends}/cancel`),
    };
    for (const [name, call] of Object.entries(steps)) {
        t.matchSnapshot(maskAnswer(await callApi(deployment, call)), name);
    }
    await callApi(deployment, alpha("POST", REQUESTS_URL, requestBody("asked")));
    await deployment.clock.advance(2_000);
    for (const call of [alpha("GET", "/v1/history"), operator("GET", "/v1/admin/teams/alpha/history")]) {
        const lines = await exportLines(deployment, call);
        t.same(await verifyHistory(lines, { file: "export", team: "alpha" }), []);
        t.not((await verifyHistory(lines.slice(0, -1), { file: "export" })).length, 0, "a cut stream is noticed");
        const { manifest } = JSON.parse(lines.at(-1) ?? "{}") as { readonly manifest: object; };
        t.matchSnapshot(maskAnswer({ ...manifest, sha256: "DIGEST" }), call.url);
    }
    await deployment.stop();
});
