import { existsSync, readFileSync } from "node:fs";
import t from "tap";
import type { CliFunctions } from "../src/command.js";
import { runCli } from "../src/runCli.js";
import type { FakeRoutes } from "./fakeEntry.js";
import { startFakeEntry } from "./fakeEntry.js";
import * as samples from "./samples.js";

interface Case {
    readonly argv: readonly string[];
    readonly routes?: FakeRoutes;
    readonly functions?: CliFunctions;
}

const { configuration, jobRecord, problem } = samples;
const inForce = { body: configuration, etag: "\"7\"" };
const config = "GET /v1/admin/config";
const put = "PUT /v1/admin/config";
const loaded = { body: { ...configuration, version: 8, loadedAt: configuration.loadedAt + 1_000 } };
const load = ["load", "changed.toml"];
const lines = `{"team":"weavers"}\n{"manifest":1}\n`;

const files = {
    "inventory.toml": samples.inventoryText,
    "changed.toml": samples.inventoryText.replaceAll("cores = 8", "cores = 16"),
    "undrained.toml": `drained = []\n${samples.inventoryText}`,
    "faulty.toml": samples.inventoryText.replace("\"w2\"", "\"w1\"").replace("[[operator]]", "[[operators]]"),
    "duplicate.toml": samples.inventoryText.replace("\"w2\"", "\"w1\""),
    "assets.csv": "id,rack,data centre,kind,cores,memory mb,accelerators\nw3,r2,south,worker,8,1024,8\n",
    "faulty.csv": "id,rack,data centre,kind,cores,memory mb,accelerators\nw3,r2,south,robot,8,1024,8\n",
    "job.toml": samples.jobText,
    "faulty-job.toml": samples.jobText.replace("vms = 2", "vms = 0").replace("3600000", "\"long\""),
    "request.toml": samples.requestText,
    "body.txt": "glaze 5",
    "history.jsonl": lines,
};

const cases: Readonly<Record<string, Case>> = {
    help: { argv: ["--help"] },
    version: { argv: ["--version"] },
    "no command": { argv: [] },
    "unknown command": { argv: ["lod"] },
    "unknown and misplaced options": { argv: ["show", "--colour", "--own", "--if-version=x"] },
    "misplaced options and arguments": { argv: ["show", "--own", "now"] },
    "option given twice": { argv: ["check", "inventory.toml", "--register=a", "--register=b"] },
    "missing argument": { argv: ["load"] },
    "settings not named": { argv: ["show", "--settings="] },
    check: { argv: ["check", "inventory.toml"] },
    "check with a register": { argv: ["check", "inventory.toml", "--register=assets.csv"] },
    "check with faults in both files": { argv: ["check", "faulty.toml", "--register=faulty.csv"] },
    "check with findings as JSON": { argv: ["check", "duplicate.toml", "--json"] },
    "check with a binding that fails": {
        argv: ["check", "inventory.toml"],
        functions: { checkGuarantees: () => [{ team: "weavers", name: "pair", instance: 0 }] },
    },
    "diff with a file": { argv: ["diff", "changed.toml", "inventory.toml"] },
    "diff with the configuration in force": { argv: ["diff", "changed.toml"], routes: { [config]: [inForce] } },
    "diff as JSON": { argv: ["diff", "undrained.toml", "--json"], routes: { [config]: [inForce] } },
    "load keeps the drains in force": { argv: load, routes: { [config]: [inForce], [put]: [loaded] } },
    "load of what is in force": { argv: ["load", "inventory.toml"], routes: { [config]: [inForce] } },
    "first load": {
        argv: load,
        routes: {
            [config]: [problem(503, "noConfiguration", "no")],
            [put]: [{ body: { ...configuration, version: 1 } }],
        },
    },
    "load with a conflict": {
        argv: load,
        routes: { [config]: [inForce], [put]: [problem(412, "versionConflict", "no", { currentVersion: 9 })] },
    },
    "load with a conflict that does not name the version": {
        argv: load,
        routes: {
            [config]: [inForce, { body: { ...configuration, version: 8 }, etag: "\"8\"" }],
            [put]: [problem(412, "versionConflict", "no")],
        },
    },
    "load based on an older version": { argv: [...load, "--if-version=6"], routes: { [config]: [inForce] } },
    "load with findings": { argv: ["load", "duplicate.toml"], routes: { [config]: [inForce] } },
    "load refused with findings": {
        argv: load,
        routes: {
            [config]: [inForce],
            [put]: [problem(422, "invalidConfiguration", "no", {
                findings: [{
                    messageId: "guaranteeUnbound",
                    message: "It does not fit.",
                    place: { path: "guarantees[0]" },
                }],
            })],
        },
    },
    "load whose answer is lost": { argv: load, routes: { [config]: [inForce], [put]: [{ body: "", breakOff: 0 }] } },
    show: { argv: ["show"], routes: { [config]: [inForce] } },
    "show with an answer of another form": { argv: ["show"], routes: { [config]: [{ body: { version: "7" } }] } },
    "show with an answer that breaks off": { argv: ["show"], routes: { [config]: [{ ...inForce, breakOff: 20 }] } },
    "show with an answer that is not JSON": { argv: ["show"], routes: { [config]: [{ status: 502, body: "<html>" }] } },
    history: {
        argv: ["history"],
        routes: {
            "GET /v1/admin/config/history": [{ body: { versions: [{ version: 7, loadedAt: 0, loadedBy: "lead" }] } }],
        },
    },
    status: { argv: ["status"], routes: { "GET /v1/admin/status": [{ body: samples.statusAnswer }] } },
    "status as JSON": {
        argv: ["status", "--json"],
        routes: { "GET /v1/admin/status": [{ body: samples.statusAnswer }] },
    },
    burn: { argv: ["burn"], routes: { "GET /v1/admin/burn": [{ body: samples.burnAnswer }] } },
    drain: {
        argv: ["drain", "w1"],
        routes: { "POST /v1/admin/vms/w1/drain": [{ body: { vmId: "w1", configVersion: 8 } }] },
    },
    "drain of a VM whose name needs escapes": {
        argv: ["drain", "../w1"],
        routes: { "POST /v1/admin/vms/..%2Fw1/drain": [problem(404, "unknownVm", "no")] },
    },
    cancel: {
        argv: ["cancel", "job-1"],
        routes: { "POST /v1/admin/jobs/job-1/cancel": [{ body: { result: "stopping", job: jobRecord } }] },
    },
    "cancel of an own job that has ended": {
        argv: ["cancel", "job-1", "--own"],
        routes: { "POST /v1/jobs/job-1/cancel": [{ body: { result: "alreadyEnded", job: samples.finishedJob } }] },
    },
    export: { argv: ["export", "--output=out.jsonl"], routes: { "GET /v1/history": [{ body: lines }] } },
    "export of a team": {
        argv: ["export", "--team=weavers", "--output=out.jsonl"],
        routes: { "GET /v1/admin/teams/weavers/history": [{ body: lines }] },
    },
    "export that breaks off": {
        argv: ["export", "--output=out.jsonl"],
        routes: { "GET /v1/history": [{ body: lines, breakOff: 10 }] },
    },
    "export without a file": { argv: ["export"] },
    "export to a directory that is missing": {
        argv: ["export", "--output=no/out.jsonl"],
        routes: { "GET /v1/history": [{ body: lines }] },
    },
    verify: {
        argv: ["verify", "history.jsonl"],
        functions: {
            verifyHistory: async (history, { file }) => {
                const findings = [];
                for await (const line of history) {
                    findings.push({ messageId: "line", message: line, place: { file, line: findings.length + 1 } });
                }
                return findings;
            },
        },
    },
    "verify of a missing file": {
        argv: ["verify", "no.jsonl"],
        functions: { verifyHistory: () => Promise.resolve([]) },
    },
    "verify without the function": { argv: ["verify", "history.jsonl"] },
    submit: {
        argv: ["submit", "job.toml", "--key=k2", "--body-file=body.txt"],
        routes: { "POST /v1/jobs": [{ status: 202, body: jobRecord }] },
    },
    "submit of a faulty file": { argv: ["submit", "faulty-job.toml"] },
    "submit in a store outage": {
        argv: ["submit", "job.toml"],
        routes: { "POST /v1/jobs": [problem(503, "storeUnavailable", "no", { retryAfterMs: 2_000 })] },
    },
    "job that failed": { argv: ["job", "job-1"], routes: { "GET /v1/jobs/job-1": [{ body: samples.failedJob }] } },
    wait: {
        argv: ["wait", "job-1"],
        routes: { "GET /v1/jobs/job-1/wait?timeoutMs=20000": [{ body: jobRecord }, { body: samples.finishedJob }] },
    },
    "wait without an end in time": {
        argv: ["wait", "job-1", "--timeout-ms=0"],
        routes: { "GET /v1/jobs/job-1/wait?timeoutMs=0": [{ body: jobRecord }] },
    },
    request: {
        argv: ["request", "pattern-desk", "request.toml", "--key=counter-5", "--body-file=body.txt"],
        routes: { "POST /v1/services/pattern-desk/requests": [{ body: samples.directAnswer }] },
    },
    "request without a key": { argv: ["request", "pattern-desk", "request.toml", "--body-file=body.txt"] },
    "request with a cut answer": {
        argv: ["request", "pattern-desk", "request.toml", "--key=counter-5", "--body-file=body.txt"],
        routes: { "POST /v1/services/pattern-desk/requests": [{ body: { ...samples.directAnswer, body: "glaze" } }] },
    },
    "request with the answer of another": {
        argv: ["request", "pattern-desk", "request.toml", "--key=counter-6", "--body-file=body.txt"],
        routes: { "POST /v1/services/pattern-desk/requests": [{ body: samples.directAnswer }] },
    },
};

const runCase = async ({ argv, functions = {} }: Case, hide: (text: string) => string) => {
    const written = { output: "", error: "" };
    const exitCode = await runCli(argv, {
        version: "0.0.0",
        functions,
        signal: new AbortController().signal,
        writeOutput: text => {
            written.output += text;
        },
        writeError: text => {
            written.error += text;
        },
    });
    return `exit code ${exitCode}\n--- output\n${hide(written.output)}--- error\n${hide(written.error)}`;
};

// A port of loopback on which nothing listens: the server that had it is closed.
const closedUrl = async () => {
    const entry = await startFakeEntry({});
    await entry.close();
    return entry.url;
};

// Guards against wrong exit codes, lost details of a refusal, and requests without token or version.
for (const [name, { argv, ...rest }] of Object.entries(cases)) {
    void t.test(name, async t => {
        const entry = await startFakeEntry(rest.routes ?? {});
        const directory = t.testdir({ ...files, "settings.toml": `entries = ["${entry.url}"]\ntoken = "secret"\n` });
        t.chdir(directory);
        const isOnline = rest.routes !== undefined;
        const whole = isOnline ? [...argv, "--settings=settings.toml"] : argv;
        const hide = (text: string) => text.replaceAll(entry.url, "http://entry").replaceAll(directory, "");
        const report = await runCase({ argv: whole, ...rest }, hide);
        await entry.close();
        const exported = existsSync("out.jsonl") ? `--- out.jsonl\n${readFileSync("out.jsonl", "utf8")}` : "";
        t.matchSnapshot(`${report}--- requests\n${entry.requests.join("\n")}\n${exported}`);
        t.notOk(existsSync("out.jsonl.part"), "no part of an export is left behind");
    });
}

// Guards against a command that fails although another entry would have answered, or that repeats what may have run.
void t.test("entries that cannot be reached", async t => {
    const lost = [{ body: "", breakOff: 0 }];
    const refusal = [problem(503, "storeUnavailable", "no")];
    const broken = await startFakeEntry({ [config]: lost, [put]: lost, "POST /v1/jobs": lost });
    const sound = await startFakeEntry({ [config]: [inForce], [put]: [loaded], "POST /v1/jobs": refusal });
    const closed = await closedUrl();
    const names = { [broken.url]: "http://broken", [sound.url]: "http://sound", [closed]: "http://closed" };
    const hide = (text: string) =>
        Object.entries(names).reduce((hidden, [url, name]) => hidden.replaceAll(url, name), text)
            .replaceAll(/127\.0\.0\.1:\d+/g, "(address)");
    const submit = ["submit", "job.toml"];
    const runs = {
        "the first is closed": { entries: [closed, sound.url], argv: load },
        "all are closed": { entries: [closed, closed], argv: load },
        "an answer is lost, no repetition": { entries: [broken.url, sound.url], argv: load },
        "an answer is lost, refused by the next": { entries: [broken.url, sound.url], argv: submit },
    };
    for (const [name, { entries, argv }] of Object.entries(runs)) {
        t.chdir(t.testdir({ ...files, "settings.toml": `entries = ${JSON.stringify(entries)}\ntoken = "secret"\n` }));
        t.matchSnapshot(await runCase({ argv: [...argv, "--settings=settings.toml"] }, hide), name);
    }
    t.matchSnapshot([...broken.requests, "---", ...sound.requests].map(line => line.split(" | ")[0]), "requests");
    await broken.close();
    await sound.close();
});

// Guards against settings that are accepted although no entry could be called with them.
void t.test("faulty settings", async t => {
    const texts = {
        empty: "",
        faulty: "entries = [\"10.0.0.1:80\", \"ftp://entry\"]\ntoken = \"a b\"\nconnectTimeoutMs = 0\nregion = \"x\"\n",
        syntax: "entries = [\n",
    };
    for (const [name, text] of Object.entries(texts)) {
        t.chdir(t.testdir({ "settings.toml": text }));
        t.matchSnapshot(await runCase({ argv: ["show", "--settings=settings.toml"] }, text => text), name);
    }
});
