import type { Finding } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { historyRecordSchema } from "@persimmonpitch/schema/historyRecord.js";
import { createHash } from "node:crypto";
import type { Manifest } from "./exportFormat.js";
import { manifestLineSchema } from "./exportFormat.js";
import type { TimelineFault } from "./subjectTimeline.js";
import { SubjectTimeline } from "./subjectTimeline.js";

type VerifyMessageId =
    | "invalidLine"
    | "missingManifest"
    | "lineAfterManifest"
    | "wrongCount"
    | "wrongDigest"
    | "otherTeam"
    | TimelineFault["kind"];

const messages: MessageTable<VerifyMessageId> = {
    invalidLine: "The line is neither a history record nor a manifest.",
    missingManifest: "The export has no manifest, so it is incomplete.",
    lineAfterManifest: "The line follows the manifest.",
    wrongCount: "The manifest counts {expected} {what}, but the export has {found}.",
    wrongDigest: "The digest of the lines differs from the manifest.",
    otherTeam: "The record belongs to the team {found}, not to {expected}.",
    gap: "The event {sequence} is missing.",
    repeated: "The event {sequence} occurs more than once.",
    open: "No event ends it.",
    afterEnd: "The event {sequence} follows the end.",
};

/** What a verification expects. */
export interface VerifyOptions {
    /** Name of the export in findings. */
    readonly file: string;
    /** The team that must own every record; by default the manifest's. */
    readonly team?: string;
}

/** A team other than expected can be told only once the manifest is read, so the first line of each is kept. */
interface TeamSeen {
    readonly team: string;
    readonly line: number;
}

/** Reads an export line by line and reports what is wrong with it. Memory grows with the jobs and requests in it. */
export const verifyHistory = async (
    lines: AsyncIterable<string> | Iterable<string>,
    options: VerifyOptions,
): Promise<readonly Finding[]> => {
    const check = new ExportCheck(options);
    for await (const line of lines) {
        check.add(line.endsWith("\n") ? line.slice(0, -1) : line);
    }
    return check.finish();
};

/** What has been read of an export. */
class ExportCheck {
    private readonly found: Finding[] = [];
    private readonly subjects = new Map<string, SubjectTimeline>();
    private readonly teams = new Map<string, TeamSeen>();
    private readonly hash = createHash("sha256");
    private readonly counts = { records: 0, jobs: 0, requests: 0 };
    private manifest: Manifest | undefined;
    private line = 0;

    private readonly handlers: LineHandlers = {
        record: ({ record }, text) => {
            this.hash.update(`${text}\n`);
            this.addRecord(record);
        },
        manifest: ({ manifest }) => {
            this.manifest = manifest;
        },
        invalid: (parsed, text) => {
            this.hash.update(`${text}\n`);
            this.report("invalidLine");
        },
    };

    constructor(private readonly options: VerifyOptions) {}

    add(text: string): void {
        this.line += 1;
        if (this.manifest === undefined) {
            this.handle(parseLine(text), text);
        }
        else {
            this.report("lineAfterManifest");
        }
    }

    finish(): readonly Finding[] {
        const { file, team } = this.options;
        return [
            ...this.found,
            ...teamFindings(file, team ?? this.manifest?.team, [...this.teams.values()]),
            ...timelineFindings(file, this.subjects),
            ...manifestFindings(file, this.manifest, this.counts, this.hash.digest("hex")),
        ];
    }

    private handle<K extends Line["kind"]>(parsed: Extract<Line, { kind: K; }> & { kind: K; }, text: string): void {
        this.handlers[parsed.kind](parsed, text);
    }

    private addRecord(record: HistoryRecord): void {
        const { team, kind, subjectId } = record;
        const key = `${team}/${kind}/${subjectId}`;
        const known = this.subjects.get(key);
        const timeline = known ?? new SubjectTimeline();
        timeline.add(record);
        this.subjects.set(key, timeline);
        this.counts.records += 1;
        this.counts[kind === "job" ? "jobs" : "requests"] += known === undefined ? 1 : 0;
        if (!this.teams.has(team)) {
            this.teams.set(team, { team, line: this.line });
        }
    }

    private report(messageId: VerifyMessageId): void {
        this.found.push(findingOf(messages, messageId, { file: this.options.file, line: this.line }));
    }
}

type Line =
    | { readonly kind: "record"; readonly record: HistoryRecord; }
    | { readonly kind: "manifest"; readonly manifest: Manifest; }
    | { readonly kind: "invalid"; };

type LineHandlers = {
    readonly [K in Line["kind"]]: (parsed: Extract<Line, { kind: K; }>, text: string) => void;
};

const parseLine = (text: string): Line => {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return { kind: "invalid" };
    }
    const manifest = manifestLineSchema.safeParse(value);
    if (manifest.success) {
        return { kind: "manifest", manifest: manifest.data.manifest };
    }
    const record = historyRecordSchema.safeParse(value);
    return record.success ? { kind: "record", record: record.data } : { kind: "invalid" };
};

const teamFindings = (file: string, expected: string | undefined, seen: readonly TeamSeen[]): readonly Finding[] =>
    expected === undefined ? [] : seen
        .filter(({ team }) => team !== expected)
        .map(({ team, line }) => findingOf(messages, "otherTeam", { file, line }, { found: team, expected }));

const timelineFindings = (file: string, subjects: ReadonlyMap<string, SubjectTimeline>): readonly Finding[] =>
    [...subjects].flatMap(([path, timeline]) =>
        timeline.faults().map(fault => findingOf(messages, fault.kind, { file, path }, dataOf(fault)))
    );

const dataOf = (fault: TimelineFault): MessageData => "sequence" in fault ? { sequence: fault.sequence } : {};

const COUNTED = ["records", "jobs", "requests"] as const;

const manifestFindings = (
    file: string,
    manifest: Manifest | undefined,
    counts: Readonly<Record<(typeof COUNTED)[number], number>>,
    sha256: string,
): readonly Finding[] => {
    if (manifest === undefined) {
        return [findingOf(messages, "missingManifest", { file })];
    }
    const wrongCounts = COUNTED.filter(what => manifest[what] !== counts[what]).map(what =>
        findingOf(messages, "wrongCount", { file, path: `manifest.${what}` }, {
            what,
            expected: manifest[what],
            found: counts[what],
        })
    );
    return manifest.sha256 === sha256
        ? wrongCounts
        : [...wrongCounts, findingOf(messages, "wrongDigest", { file, path: "manifest.sha256" })];
};
