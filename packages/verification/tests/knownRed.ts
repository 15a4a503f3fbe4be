import { readFileSync } from "node:fs";

const LINES = readFileSync(new URL("../../../../KNOWN-RED.txt", import.meta.url), "utf8")
    .matchAll(/^control-replay: (\w+)/gm);

/** Lines of KNOWN-RED.txt for broken rules that the code follows: "control-replay: RULE; ...". */
export const KNOWN_RED: ReadonlySet<string> = new Set([...LINES].map(([, rule = ""]) => rule));
