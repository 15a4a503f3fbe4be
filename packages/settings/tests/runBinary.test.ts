import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import t from "tap";

const PROGRAM = `
import { ok } from "true-myth/result";
import { runDaemon } from ${JSON.stringify(new URL("../src/runBinary.js", import.meta.url).href)};
const timer = setInterval(() => undefined, 1_000);
await runDaemon(ok({}), async () => {
    return {
        logger: { log: (_level, event) => process.stdout.write(event + "\\n") },
        onSettingsChanged: () => process.stdout.write("changed\\n"),
        shutdown: async () => {
            clearInterval(timer);
            process.stdout.write("ended\\n");
        },
    };
});
`;

// Guards against a daemon that SIGHUP ends, with all requests in progress.
// Guards also against a stop that the log does not show.
void t.test("SIGHUP tells a daemon of changed settings and SIGTERM ends it", async t => {
    const cwd = fileURLToPath(new URL("../..", import.meta.url));
    const child = spawn(process.execPath, ["--input-type=module", "-e", PROGRAM], { cwd });
    const seen: string[] = [];
    const next: Readonly<Record<string, NodeJS.Signals>> = { "process.started": "SIGHUP", changed: "SIGTERM" };
    child.stdout.setEncoding("utf8").on("data", (text: string) => {
        for (const line of text.split("\n").filter(Boolean)) {
            seen.push(line);
            const signal = next[line];
            if (signal !== undefined) {
                child.kill(signal);
            }
        }
    });
    const exited = await once(child, "close");
    t.same(seen, ["process.started", "changed", "process.stopping", "ended", "process.stopped"]);
    t.equal(exited[0], 0);
});
