// Writes what was sent, answered and run to a file, with the time since the start of the script.
import { closeSync, openSync, writeSync } from "node:fs";

/** Opens the record of a case. */
export const openRecord = path => {
    const file = openSync(path, "w");
    const startedAt = performance.now();
    const now = () => Math.round(performance.now() - startedAt);
    return {
        now,
        note: (what, data = {}) => {
            const fields = Object.entries(data).map(([key, value]) => ` ${key}=${JSON.stringify(value)}`).join("");
            writeSync(file, `${String(now()).padStart(7)} ms  ${what}${fields}\n`);
        },
        close: () => {
            closeSync(file);
        },
    };
};
