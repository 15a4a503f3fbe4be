import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import * as z from "zod";

const journalEntrySchema = z.object({
    cmd: z.string(),
    at: z.tuple([z.string(), z.string()]),
    site: z.string().nullish(),
    score: z.number().nullish(),
});

/** One score of a site. */
export interface ScorePoint {
    readonly site: string;
    /** When the run began. */
    readonly at: string;
    readonly score: number;
}

/** The score that an entry of the journal holds; undefined for other runs. */
export const scoreOf = (entry: unknown): ScorePoint | undefined => {
    const { cmd, at: [beganAt], site, score } = journalEntrySchema.parse(entry);
    const isScore = cmd === "score" && typeof site === "string" && typeof score === "number";
    return isScore ? { site, at: beganAt, score } : undefined;
};

/** All scores in a folder of journal entries, the oldest first. */
export const readScores = (folder: string): readonly ScorePoint[] =>
    readdirSync(folder)
        .filter(name => name.endsWith(".json"))
        .sort()
        .flatMap(name => scoreOf(JSON.parse(readFileSync(join(folder, name), "utf8"))) ?? []);
