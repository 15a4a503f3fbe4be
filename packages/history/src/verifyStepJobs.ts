import type { Finding } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";
import { createHash } from "node:crypto";
import type { StepManifest } from "./stepJobExport.js";
import { stepJobLineSchema, stepManifestLineSchema } from "./stepJobExport.js";

type VerifyMessageId =
    | "invalidLine"
    | "missingManifest"
    | "lineAfterManifest"
    | "wrongCount"
    | "wrongDigest"
    | "otherTeam"
    | "repeated";

const messages: MessageTable<VerifyMessageId> = {
    invalidLine: "The line is neither a job nor a manifest.",
    missingManifest: "The export has no manifest, so it is incomplete.",
    lineAfterManifest: "The line follows the manifest.",
    wrongCount: "The manifest counts {expected} {what}, but the export has {found}.",
    wrongDigest: "The digest of the lines differs from the manifest.",
    otherTeam: "The job belongs to the team {found}, not to {expected}.",
    repeated: "The job {jobId} occurs more than once.",
};

const COUNTED = ["jobs", "cancelled", "tasks"] as const;

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

/** Reads an export of jobs of steps line by line and reports what is wrong with it, with its line. */
export const verifyStepJobs = async (
    lines: AsyncIterable<string> | Iterable<string>,
    file: string,
): Promise<readonly Finding[]> => {
    const found: Finding[] = [];
    const owners: { readonly line: number; readonly team: string; }[] = [];
    const jobIds = new Set<string>();
    const counts = { jobs: 0, cancelled: 0, tasks: 0 };
    const hash = createHash("sha256");
    let manifest: StepManifest | undefined;
    let line = 0;
    const report = (id: VerifyMessageId, data: MessageData = {}, at = line) => {
        found.push(findingOf(messages, id, { file, line: at }, data));
    };
    for await (const ended of lines) {
        const text = ended.endsWith("\n") ? ended.slice(0, -1) : ended;
        line += 1;
        if (manifest !== undefined) {
            report("lineAfterManifest");
            continue;
        }
        const value = parseJson(text);
        manifest = stepManifestLineSchema.safeParse(value).data?.manifest;
        if (manifest !== undefined) {
            continue;
        }
        hash.update(`${text}\n`);
        const entry = stepJobLineSchema.safeParse(value).data;
        if (entry === undefined) {
            report("invalidLine");
            continue;
        }
        const { job, cancelledAt, tasks } = entry;
        if (jobIds.has(job.jobId)) {
            report("repeated", { jobId: job.jobId });
        }
        jobIds.add(job.jobId);
        owners.push({ line, team: job.team ?? "" });
        counts.jobs += 1;
        counts.cancelled += cancelledAt === undefined ? 0 : 1;
        counts.tasks += Object.keys(tasks).length;
    }
    if (manifest === undefined) {
        return [...found, findingOf(messages, "missingManifest", { file })];
    }
    const { team: expected, sha256 } = manifest;
    for (const owner of owners.filter(({ team }) => team !== expected)) {
        report("otherTeam", { found: owner.team, expected }, owner.line);
    }
    for (const what of COUNTED.filter(counted => manifest[counted] !== counts[counted])) {
        report("wrongCount", { what, expected: manifest[what], found: counts[what] });
    }
    if (sha256 !== hash.digest("hex")) {
        report("wrongDigest");
    }
    return found;
};
