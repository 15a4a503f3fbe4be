import type { Finding } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";
import { countResumed } from "./countResumed.js";
import { deviceOverlaps } from "./deviceIntervals.js";
import { longestPartialSpan } from "./partialGang.js";
import type { EvidenceIndex, KeyGroup, RunEvidence, Subject, ToldAnswer } from "./runEvidence.js";
import { indexEvidence, runsOf } from "./runEvidence.js";
import { SubjectTimeline } from "./subjectTimeline.js";
import { isTerminalEvent } from "./terminalEvent.js";

type InvariantMessageId =
    | "heldTwice"
    | "partialGang"
    | "startedAgain"
    | "toldNotRunButStarted"
    | "recordedNotRunButStarted"
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
    toldNotRunButStarted: "The caller was told that it was not run, but {attempt} was started on {vm}.",
    recordedNotRunButStarted: "The event {event} says that it was not run, but {attempt} was started on {vm}.",
    ranButNotStarted: "The caller was told that it was run, but nothing was started.",
    unknownRun: "The attempt {attempt} ran, but the history does not know it.",
    severalEnds: "It has {count} terminal events.",
    noEnd: "It was accepted, but has no terminal event.",
    notAccepted: "It has events, but was never accepted.",
    notInHistory: "The caller got an answer, but the history has no event of it.",
    gap: "The event {sequence} is missing.",
    repeated: "The event {sequence} occurs more than once.",
    afterEnd: "The event {sequence} follows the end.",
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

type CheckId =
    | "devices"
    | "gangs"
    | "atMostOnce"
    | "recordedRan"
    | "toldRan"
    | "runs"
    | "recorded"
    | "ends"
    | "sequences"
    | "answers";

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

const isNonIdempotent = ({ subjects, told }: KeyGroup): boolean =>
    subjects.some(({ job }) => job?.spec.idempotent === false) || told.some(({ idempotent }) => idempotent === false);

/** Starts of a job or request; a gang starts once, on each VM of one attempt. */
const startsOf = ({ taskRuns, requestRuns }: Subject): number => {
    const attempts = new Set(taskRuns.map(run => run.attemptId)).size;
    const members = new Set(taskRuns.map(run => `${run.vmId}/${run.attemptId}`)).size;
    const repeated = taskRuns.length - members;
    return attempts - countResumed(taskRuns) + repeated + requestRuns.length;
};

/** I5: what is not idempotent starts at most once under its request key. */
const checkAtMostOnce: Check = ({ index }) =>
    index.groups.filter(isNonIdempotent).flatMap(({ path, subjects }) => {
        const count = subjects.reduce((sum, subject) => sum + startsOf(subject), 0);
        return count > 1 ? [findingOf(messages, "startedAgain", { path }, { count })] : [];
    });

/** I4: what the history says was not run has never started. */
const checkRecordedRan: Check = ({ index }) =>
    index.subjects.flatMap(subject => {
        const [run] = runsOf(subject);
        const denials = subject.records.filter(({ ran }) => ran === "no");
        return run === undefined
            ? []
            : denials.map(({ event }) =>
                findingOf(messages, "recordedNotRunButStarted", { path: subject.path }, {
                    event,
                    attempt: run.attemptId,
                    vm: run.vmId,
                })
            );
    });

const isAbout = ({ subjectId }: ToldAnswer, subject: Subject): boolean =>
    subjectId === undefined || subjectId === subject.subjectId;

/**
 * I4: what a caller was told was not run has never started, and what it was told was run has started.
 * A caller may repeat a refused call under the same request key. So each job or request that started needs an answer
 * of its own other than `no`.
 */
const checkToldRan: Check = ({ index }) =>
    index.groups.flatMap(({ path, subjects, told }) => {
        const started = subjects.filter(subject => runsOf(subject).length > 0);
        const denied = started.filter(subject => told.some(answer => answer.ran === "no" && isAbout(answer, subject)));
        const admissions = told.filter(({ ran }) => ran !== "no");
        const isEachAdmitted = denied.every(subject => admissions.some(answer => isAbout(answer, subject)))
            && started.length <= admissions.length;
        const [run] = denied.flatMap(runsOf);
        return [
            ...(run === undefined || isEachAdmitted ? [] : [
                findingOf(messages, "toldNotRunButStarted", { path }, { attempt: run.attemptId, vm: run.vmId }),
            ]),
            ...(started.length === 0 && told.some(({ ran }) => ran === "yes")
                ? [findingOf(messages, "ranButNotStarted", { path })]
                : []),
        ];
    });

/** Every run belongs to a job or request of the history. */
const checkRuns: Check = ({ index }) =>
    index.strayRuns.map(({ vmId, attemptId }) =>
        findingOf(messages, "unknownRun", { path: vmId }, { attempt: attemptId })
    );

/** Every answer is of a job or request in the history. */
const checkRecorded: Check = ({ index }) =>
    index.groups
        .filter(({ subjects, told }) =>
            subjects.every(({ records }) => records.length === 0) && told.some(({ ran }) => ran !== "no")
        )
        .map(({ path }) => findingOf(messages, "notInHistory", { path }));

/** Every accepted job and request has exactly one terminal event, or is still open where that is allowed. */
const checkEnds: Check = ({ index, options }) =>
    index.subjects.flatMap(({ path, records }) => {
        const ends = records.filter(({ event }) => isTerminalEvent(event));
        const isJob = records.some(({ kind }) => kind === "job");
        const isAccepted = records.some(({ event }) => event === "accepted" || event === "refused");
        const report = (messageId: InvariantMessageId, data: MessageData = {}) =>
            findingOf(messages, messageId, { path }, data);
        return [
            ...(ends.length > 1 ? [report("severalEnds", { count: ends.length })] : []),
            ...(records.length > 0 && ends.length === 0 && !options.allowOpen ? [report("noEnd")] : []),
            ...(isJob && !isAccepted ? [report("notAccepted")] : []),
        ];
    });

/** The events of each job and request are complete and end with its terminal event. */
const checkSequences: Check = ({ index }) =>
    index.subjects.flatMap(({ path, records }) => {
        const timeline = new SubjectTimeline();
        records.forEach(record => {
            timeline.add(record);
        });
        return timeline.faults().flatMap(fault =>
            fault.kind === "open" ? [] : [findingOf(messages, fault.kind, { path }, { sequence: fault.sequence })]
        );
    });

const answersOf = ({ taskRuns, requestRuns }: Subject): readonly (string | undefined)[] => [
    ...taskRuns.map(({ result }) => result),
    ...requestRuns.map(({ answer }) => answer),
];

/** I3: an answer was given by a run of the request that it answers. */
const checkAnswers: Check = ({ index }) =>
    index.groups.flatMap(({ path, subjects, told }) => {
        const isOwn = (toldAnswer: ToldAnswer) =>
            subjects.some(subject => isAbout(toldAnswer, subject) && answersOf(subject).includes(toldAnswer.answer));
        const wrong = told.filter(toldAnswer => toldAnswer.answer !== undefined && !isOwn(toldAnswer));
        return wrong.map(({ answer }) => {
            const other = index.subjects.find(candidate => answersOf(candidate).includes(answer));
            return other === undefined
                ? findingOf(messages, "answerOfNone", { path })
                : findingOf(messages, "answerOfAnother", { path }, { other: other.path });
        });
    });

const CHECKS: Readonly<Record<CheckId, Check>> = {
    devices: checkDevices,
    gangs: checkGangs,
    atMostOnce: checkAtMostOnce,
    recordedRan: checkRecordedRan,
    toldRan: checkToldRan,
    runs: checkRuns,
    recorded: checkRecorded,
    ends: checkEnds,
    sequences: checkSequences,
    answers: checkAnswers,
};
