import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Test } from "tap";
import t from "tap";

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));

interface Case {
    readonly name: string;
    readonly settings?: string;
    readonly args?: readonly string[];
    /** Lines of output after which the process is told to end. */
    readonly lines?: number;
}

const blocker = createServer();
await new Promise<void>(resolve => {
    blocker.listen(0, "127.0.0.1", resolve);
});
const takenPort = (blocker.address() as AddressInfo).port;
t.teardown(() => blocker.close());

const CASES: readonly Case[] = [
    { name: "help", args: ["--help"] },
    { name: "version", args: ["--version"] },
    { name: "unknown flag", args: ["--unknown"] },
    { name: "unexpected argument", args: ["now"] },
    { name: "missing file", args: ["--settings", "/nonexistent/standins.toml"] },
    { name: "wrong settings", settings: "tablePort = 70000\nport = 1\n[workers]\ncount = \"2\"\n" },
    { name: "port in use", settings: `tablePort = ${takenPort}\n` },
    { name: "no settings", lines: 2 },
    { name: "workers and executors", settings: "[workers]\ncount = 2\n[executors]\ncount = 1\n", lines: 5 },
];

const run = async (t: Test, { settings, args = [], lines = Infinity }: Case) => {
    const file = join(t.testdir({ "standins.toml": settings ?? "" }), "standins.toml");
    const child = spawn(process.execPath, [MAIN, ...(settings === undefined ? args : ["--settings", file])]);
    const output = { stdout: "", stderr: "" };
    child.stderr.on("data", (data: Buffer) => {
        output.stderr += data.toString();
    });
    child.stdout.on("data", (data: Buffer) => {
        output.stdout += data.toString();
        if (output.stdout.split("\n").length > lines) {
            child.kill("SIGTERM");
        }
    });
    const [exitCode, killedBy] = await once(child, "close") as [number | null, string | null];
    const hide = (text: string) =>
        text.replaceAll(file, "FILE").replaceAll(String(takenPort), "TAKEN").replace(/(127\.0\.0\.1):\d+/g, "$1:PORT");
    return { exitCode, killedBy, stdout: hide(output.stdout), stderr: hide(output.stderr) };
};

// Guards against wrong exit codes, and against an end by the signal itself instead of a graceful shutdown.
void t.test("the binary", async t => {
    for (const testCase of CASES) {
        t.matchSnapshot(await run(t, testCase), testCase.name);
    }
});
