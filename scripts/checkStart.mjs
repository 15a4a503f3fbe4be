// Runs the bundled programs through one job, and checks what they have loaded when they begin to serve. It prints the
// processor time up to then beside that of a bare runtime; the check itself does not depend on the machine's speed.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { playJob } from "./playJob.mjs";

/** Modules of the runtime that no program needs, each with the processor time of a start that it would add. */
const UNWANTED_MODULES = [
    "NativeModule http2",
    "NativeModule https",
    "NativeModule tls",
    "NativeModule worker_threads",
];
const MAX_BUNDLE_BYTES = { entry: 860_000, agent: 770_000 };
const POLL_MS = 5;

const reporter = fileURLToPath(new URL("startReport.cjs", import.meta.url));
const folder = mkdtempSync(join(tmpdir(), "persimmonpitch-start-"));
const prefix = join(folder, "report");

const readReport = async pid => {
    const file = `${prefix}.${pid}`;
    while (!existsSync(file) || readFileSync(file, "utf8") === "") {
        await new Promise(resolve => {
            setTimeout(resolve, POLL_MS);
        });
    }
    return JSON.parse(readFileSync(file, "utf8"));
};

const bareRuntime = () => {
    const script = "const { user, system } = process.cpuUsage(); console.log((user + system) / 1_000);";
    return Number(String(spawnSync(process.execPath, ["-e", script]).stdout));
};

const reports = {};
await playJob({
    env: { START_REPORT: prefix },
    nodeArgs: ["--require", reporter],
    onServing: async (name, child) => {
        child.kill("SIGUSR2");
        reports[name] = await readReport(child.pid);
    },
});
const bareMs = bareRuntime();
for (const [name, { cpuMs, modules }] of Object.entries(reports)) {
    const bytes = statSync(new URL(`../target/${name}.bundle.cjs`, import.meta.url)).size;
    const unwanted = UNWANTED_MODULES.filter(module => modules.includes(module));
    const ratio = (cpuMs / bareMs).toFixed(2);
    console.log(
        `${name}: ${cpuMs.toFixed(0)} ms of a core until it serves, ${ratio} times a bare runtime (${
            bareMs.toFixed(0)
        } ms)`,
    );
    console.log(`${name}: ${modules.length} modules of the runtime, ${bytes} bytes of bundle`);
    if (unwanted.length > 0) {
        console.error(`${name}: loads ${unwanted.join(", ")} at its start.`);
        process.exitCode = 1;
    }
    if (bytes > MAX_BUNDLE_BYTES[name]) {
        console.error(`${name}: the bundle has more than ${MAX_BUNDLE_BYTES[name]} bytes.`);
        process.exitCode = 1;
    }
}
rmSync(folder, { recursive: true });
