import { createLogger } from "@persimmonpitch/logging/logger.js";
import t from "tap";
import { err, ok } from "true-myth/result";
import type { ChangeHandlers } from "../src/reloadSettings.js";
import { reloadSettings } from "../src/reloadSettings.js";

interface Settings {
    readonly address: string;
    readonly bounds: { readonly leaseMs: number; };
}

const BEFORE: Settings = { address: "10.0.0.1:80", bounds: { leaseMs: 1_000 } };

// Guards against settings that a running process ignores silently, or that a malformed file replaces.
void t.test("changed settings are applied, deferred with a reason or left alone", t => {
    const cases = {
        unchanged: ok<Settings>({ address: "10.0.0.1:80", bounds: { leaseMs: 1_000 } }),
        bounds: ok<Settings>({ ...BEFORE, bounds: { leaseMs: 2_000 } }),
        address: ok<Settings>({ ...BEFORE, address: "10.0.0.2:80" }),
        malformed: err<Settings, []>([]),
    };
    const results = Object.entries(cases).map(([name, read]) => {
        const lines: string[] = [];
        const applied: number[] = [];
        const handlers: ChangeHandlers<Settings> = {
            address: { kind: "nextStart", reason: "The process listens there." },
            bounds: {
                kind: "apply",
                apply: ({ bounds }) => {
                    applied.push(bounds.leaseMs);
                },
            },
        };
        const logger = createLogger("info", line => {
            lines.push(line.replace(/^time=\S+ /, "").trim());
        });
        return { name, kept: reloadSettings(BEFORE, read, handlers, logger), applied, lines };
    });
    t.matchSnapshot(JSON.stringify(results, undefined, 4));
    t.end();
});
