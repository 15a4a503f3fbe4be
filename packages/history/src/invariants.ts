import type { Finding } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";
import { deviceOverlaps } from "./deviceIntervals.js";
import { longestPartialSpan } from "./partialGang.js";
import type { EvidenceIndex, RunEvidence, Subject } from "./runEvidence.js";
import { indexEvidence } from "./runEvidence.js";
import { SubjectTimeline } from "./subjectTimeline.js";
import { isTerminalEvent } from "./terminalEvent.js";

type InvariantMessageId =
    | "heldTwice"
    | "partialGang"
    | "startedAgain"
    | "notRunButStarted"
    | "ranButNotStarted"
    | "unknownRun"
    | "severalEnds"
    | "noEnd"
    | "notAccepted"
    | "notInHistory"
    | "gap"
    | "repeated"
    | "afterEnd"
    | "answerOfAnother"
    | "answerOfNone";

const messages: MessageTable<InvariantMessageId> = {
    heldTwice: "The accelerator was held by {first} and by {second} at once, from {at} ms.",
    partialGang: "The attempt ran with {members} of {size} members for {spanMs} ms; at most {boundMs} ms are allowed.",
    startedAgain: "It is not idempotent, but it was started {count} times.",
    notRunButStarted: "{source} says that it was not run, but {attempt} was started on {vm}.",
    ranButNotStarted: "The caller was told that it was run, but nothing was started.",
    unknownRun: "The attempt {attempt} ran, but the history does not know it.",
    severalEnds: "It has {count} terminal events.",
    noEnd: "It was accepted, but has no terminal event.",
    notAccepted: "It has events, but was never accepted.",
    notInHistory: "The caller got an answer, but the history has no event of it.",
    gap: "The event {sequence} of {subject} is missing.",
    repeated: "The event {sequence} of {subject} occurs more than once.",
    afterEnd: "The event {sequence} of {subject} follows the end.",
    answerOfAnother: "The answer belongs to {other}.",
    answerOfNone: "The answer was not given by any run of it.",
};

/** Bounds of the checks. */
export interface InvariantOptions {
    /** Longest time for which a gang may run with a part of its members, while it starts or is stopped. */
    readonly partialGangBoundMs: number;
    /** Whether jobs and requests may still be open at the end. */
    readonly allowOpen: boolean;
    /** Time on the workers' clock up to which the run was observed. */
    readonly observedUntil: number;
}

interface CheckInput {
    readonly evidence: RunEvidence;
    readonly index: EvidenceIndex;
    readonly options: InvariantOptions;
}

type Check = (input: CheckInput) => readonly Finding[];

/** Checks that every invariant held in a run, and reports each breach with its place. */
export const checkInvariants = (evidence: RunEvidence, options: InvariantOptions): readonly Finding[] => {
    const input = { evidence, index: indexEvidence(evidence), options };
    return Object.values(CHECKS).flatMap(check => check(input));
};

type CheckId = "devices" | "gangs" | "atMostOnce" | "ran" | "runs" | "ends" | "sequences" | "answers";

/** Accelerators are never held by two attempts at once. */
const checkDevices: Check = ({ evidence }) =>
    deviceOverlaps(evidence.taskRuns).map(({ vmId, device, first, second }) =>
        findingOf(messages, "heldTwice", { path: `${vmId}/accelerators/${device}` }, {
            first: first.attemptId,
            second: second.attemptId,
            at: second.startedAt,
        })
    );

/** I2: a gang never runs with a part of its members for longer than the bound. */
const checkGangs: Check = ({ index, options }) =>
    index.subjects.flatMap(({ path, job, taskRuns }) => {
        const size = job?.spec.gang.vms ?? 1;
        const attemptIds = [...new Set(taskRuns.map(run => run.attemptId))];
        return attemptIds.flatMap(attemptId => {
            const runs = taskRuns.filter(run => run.attemptId === attemptId);
            const span = longestPartialSpan(runs, size, options.observedUntil);
            const spanMs = span === undefined ? 0 : span.to - span.from;
            const data = { members: span?.members ?? 0, size, spanMs, boundMs: options.partialGangBoundMs };
            return spanMs > options.partialGangBoundMs
                ? [findingOf(messages, "partialGang", { path: `${path}/${attemptId}` }, data)]
                : [];
        });
    });

const isNonIdempotent = ({ job, told }: Subject): boolean =>
    job?.spec.idempotent === false || told.some(({ idempotent }) => idempotent === false);

/** I5: a non-idempotent job or request starts at most once. A gang starts once on each VM of one attempt. */
const checkAtMostOnce: Check = ({ index }) =>
    index.subjects.filter(isNonIdempotent).flatMap(({ path, taskRuns, requestRuns }) => {
        const attempts = new Set(taskRuns.map(run => run.attemptId)).size;
        const members = new Set(taskRuns.map(run => `${run.vmId}/${run.attemptId}`)).size;
        const repeated = taskRuns.length - members;
        const count = attempts + repeated + requestRuns.length;
        return count > 1 ? [findingOf(messages, "startedAgain", { path }, { count })] : [];
    });

/** I4: what is said not to have run has never started, and what is said to have run has started. */
const checkRan: Check = ({ index }) =>
    index.subjects.flatMap(({ path, records, told, taskRuns, requestRuns }) => {
        const [run] = [...taskRuns, ...requestRuns];
        const sources = [
            ...told.filter(({ ran }) => ran === "no").map(() => "The answer to the caller"),
            ...records.filter(({ ran }) => ran === "no").map(({ event }) => `The event ${event} in the history`),
        ];
        const untrue = run === undefined
            ? []
            : sources.map(source =>
                findingOf(messages, "notRunButStarted", { path }, { source, attempt: run.attemptId, vm: run.vmId })
            );
        const isToldRan = told.some(({ ran }) => ran === "yes");
        return run === undefined && isToldRan
            ? [...untrue, findingOf(messages, "ranButNotStarted", { path })]
            : untrue;
    });

/** Every run belongs to a job or request of the history. */
const checkRuns: Check = ({ index }) =>
    [...index.strayTaskRuns, ...index.strayRequestRuns].map(({ vmId, attemptId }) =>
        findingOf(messages, "unknownRun", { path: vmId }, { attempt: attemptId })
    );

/** Every accepted job and request has exactly one terminal event, or is still open where that is allowed. */
const checkEnds: Check = ({ index, options }) =>
    index.subjects.flatMap(({ path, records, told }) => {
        const ends = records.filter(({ event }) => isTerminalEvent(event));
        const isJob = records.some(({ kind }) => kind === "job");
        const isAccepted = records.some(({ event }) => event === "accepted" || event === "refused");
        const report = (messageId: InvariantMessageId, data: MessageData = {}) =>
            findingOf(messages, messageId, { path }, data);
        return [
            ...(ends.length > 1 ? [report("severalEnds", { count: ends.length })] : []),
            ...(records.length > 0 && ends.length === 0 && !options.allowOpen ? [report("noEnd")] : []),
            ...(isJob && !isAccepted ? [report("notAccepted")] : []),
            ...(records.length === 0 && told.some(({ ran }) => ran !== "no") ? [report("notInHistory")] : []),
        ];
    });

/** The events of each job and request are complete and end with its terminal event. */
const checkSequences: Check = ({ index }) =>
    index.subjects.flatMap(({ path, records }) => {
        const subjects = [...new Set(records.map(({ subjectId }) => subjectId))];
        return subjects.flatMap(subject => {
            const timeline = new SubjectTimeline();
            records.filter(({ subjectId }) => subjectId === subject).forEach(record => {
                timeline.add(record);
            });
            return timeline.faults().flatMap(fault =>
                fault.kind === "open"
                    ? []
                    : [findingOf(messages, fault.kind, { path }, { subject, sequence: fault.sequence })]
            );
        });
    });

const answersOf = ({ taskRuns, requestRuns }: Subject): ReadonlySet<string | undefined> =>
    new Set([...taskRuns.map(({ result }) => result), ...requestRuns.map(({ answer }) => answer)]);

/** I3: an answer was given by a run of the request that it answers. */
const checkAnswers: Check = ({ index }) =>
    index.subjects.flatMap(subject => {
        const own = answersOf(subject);
        const wrong = subject.told.filter(({ answer }) => answer !== undefined && !own.has(answer));
        return wrong.map(({ answer }) => {
            const other = index.subjects.find(candidate => answersOf(candidate).has(answer));
            return other === undefined
                ? findingOf(messages, "answerOfNone", { path: subject.path })
                : findingOf(messages, "answerOfAnother", { path: subject.path }, { other: other.path });
        });
    });

const CHECKS: Readonly<Record<CheckId, Check>> = {
    devices: checkDevices,
    gangs: checkGangs,
    atMostOnce: checkAtMostOnce,
    ran: checkRan,
    runs: checkRuns,
    ends: checkEnds,
    sequences: checkSequences,
    answers: checkAnswers,
};
