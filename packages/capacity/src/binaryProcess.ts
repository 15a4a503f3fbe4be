import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { ProcessUsage } from "./processUsage.js";
import { readUsage } from "./processUsage.js";

/** Bundled binaries that a measurement starts. */
export type BinaryName = "persimmonpitch-entry" | "persimmonpitch-agent" | "persimmonpitch";

const BINARIES = new URL("../../../../dist/bin/", import.meta.url);
const READY_TIMEOUT_MS = 20_000;
const EXIT_BY_SIGNAL = -1;

/** A short process lives for some hundred milliseconds. */
const SAMPLE_MS = 5;

type LineListener = (line: string) => void;

/** A bundled binary in a process of its own. */
export class BinaryProcess {
    readonly pid: number;
    private readonly listeners = new Set<LineListener>();
    private readonly lines: string[] = [];
    private readonly ended: Promise<number>;

    private constructor(private readonly child: ChildProcess, private readonly folder: string) {
        this.pid = child.pid ?? 0;
        // An interrupted command must not leave processes behind.
        const killChild = () => {
            child.kill("SIGKILL");
        };
        process.once("exit", killChild);
        this.ended = new Promise(resolve => {
            child.once("exit", code => {
                process.off("exit", killChild);
                resolve(code ?? EXIT_BY_SIGNAL);
            });
        });
        if (child.stderr !== null) {
            createInterface({ input: child.stderr }).on("line", line => {
                this.lines.push(line);
                this.listeners.forEach(listener => {
                    listener(line);
                });
            });
        }
    }

    /** Starts a binary with settings in TOML. */
    static start(name: BinaryName, settings: string, args: readonly string[] = []): BinaryProcess {
        const folder = mkdtempSync(join(tmpdir(), "persimmonpitch-capacity-"));
        const file = join(folder, "settings.toml");
        writeFileSync(file, settings);
        const binary = fileURLToPath(new URL(`${name}.mjs`, BINARIES));
        const child = spawn(process.execPath, [binary, ...args, "--settings", file], {
            stdio: ["ignore", "ignore", "pipe"],
        });
        return new BinaryProcess(child, folder);
    }

    get usage(): ProcessUsage {
        return readUsage(this.pid);
    }

    /** The first log line, past or future, that holds a text. */
    waitForLine(text: string): Promise<string> {
        const found = this.lines.find(line => line.includes(text));
        if (found !== undefined) {
            return Promise.resolve(found);
        }
        return new Promise((resolve, reject) => {
            const listener = (line: string) => {
                if (line.includes(text)) {
                    clearTimeout(timer);
                    this.listeners.delete(listener);
                    resolve(line);
                }
            };
            const timer = setTimeout(() => {
                this.listeners.delete(listener);
                reject(
                    new Error(`no log line with "${text}" within ${READY_TIMEOUT_MS} ms: ${this.lines.at(-1) ?? ""}`),
                );
            }, READY_TIMEOUT_MS);
            this.listeners.add(listener);
        });
    }

    /** Waits until the process ends by itself, and samples its memory until then. */
    async runToEnd(): Promise<{ readonly exitCode: number; readonly peakMb: number; }> {
        let peakMb = 0;
        const sampler = setInterval(() => {
            // The process may have ended since the last sample.
            if (this.child.exitCode === null) {
                peakMb = Math.max(peakMb, this.usage.residentMb);
            }
        }, SAMPLE_MS);
        const exitCode = await this.ended;
        clearInterval(sampler);
        rmSync(this.folder, { recursive: true, force: true });
        return { exitCode, peakMb };
    }

    /** Ends the process at once, as a lost VM would. */
    async kill(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.ended;
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** The value of one field of a logfmt line. */
export const fieldOf = (line: string, name: string): string =>
    new RegExp(`(?:^| )${name}=("?)([^" ]*)\\1`).exec(line)?.[2] ?? "";
