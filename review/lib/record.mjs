// The record of a case: one JSON object per line of record.txt, in the folder of the script.
import { appendFileSync, writeFileSync } from "node:fs";

/** Opens the record and empties it. Times are in milliseconds since then. */
export const openRecord = file => {
    const startedAt = performance.now();
    const lines = [];
    writeFileSync(file, "");
    const flush = () => {
        if (lines.length > 0) {
            appendFileSync(file, lines.splice(0).join(""));
        }
    };
    const timer = setInterval(flush, 200);
    const now = () => Math.round(performance.now() - startedAt);
    return {
        now,
        write: (what, fields = {}) => {
            lines.push(`${JSON.stringify({ at: now(), what, ...fields })}\n`);
        },
        close: () => {
            clearInterval(timer);
            flush();
        },
    };
};
