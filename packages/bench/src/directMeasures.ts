import { isInTime, isToldEarly, sumOf } from "./directJudgement.js";
import type { DirectRecord } from "./directRecord.js";
import type { DirectResult } from "./directReplay.js";
import type { DirectReplayOptions } from "./directSettings.js";
import type { DirectKind } from "./directTrace.js";
import { DIRECT_KINDS, SMALL_TEAM } from "./directTrace.js";

/** One measure of a replay; a row without a bound informs only. */
export interface DirectRow {
    readonly measure: string;
    readonly value: number;
    readonly bound: string;
    readonly ok: boolean;
}

const share = (part: number, whole: number): number => whole === 0 ? 1 : part / whole;

/** The value below which the given share of the values lies. */
const quantile = (values: readonly number[], portion: number): number =>
    [...values].sort((a, b) => a - b)[Math.max(0, Math.ceil(values.length * portion) - 1)] ?? 0;

const informs = (measure: string, value: number): DirectRow => ({ measure, value, bound: "", ok: true });

const atMost = (measure: string, value: number, bound: number): DirectRow => ({
    measure,
    value,
    bound: `<= ${bound}`,
    ok: value <= bound,
});

const atLeast = (measure: string, value: number, bound: number): DirectRow => ({
    measure,
    value,
    bound: `>= ${bound}`,
    ok: value >= bound,
});

const MIN_GOODPUT_SHARE = 0.9;
const OVERLOAD = 3;

const kindInTime = (records: readonly DirectRecord[], kind: DirectKind): number => {
    const own = records.filter(({ arrival }) => arrival.kind === kind);
    return share(own.filter(isInTime).length, own.length);
};

/** The measures of one replay with the bounds of section 12 and of the invariants. */
export const measureDirect = (result: DirectResult, { load }: DirectReplayOptions): readonly DirectRow[] => {
    const { records, counters } = result;
    const goodput = result.usefulMs / result.capacityMs;
    const renders = records.filter(({ arrival }) => arrival.kind === "quickRender");
    // Every render that was not refused early counts as accepted; one that got no answer counts as infinitely late.
    const accepted = renders.filter(record => !isToldEarly(record));
    const elapsed = accepted.map(record => record.outcome === "answered" ? record.elapsedMs : Infinity);
    const small = records.filter(({ arrival }) => arrival.team === SMALL_TEAM);
    const missed = records.filter(record => !isInTime(record));
    const attempts = sumOf(records, record => record.attempts);
    const retried = sumOf(records, record => Math.max(0, record.attempts - 1));
    return [
        load >= OVERLOAD
            ? atLeast("goodput, share of capacity", goodput, MIN_GOODPUT_SHARE)
            : informs("goodput, share of capacity", goodput),
        atMost("accepted quick renders, p99, ms", quantile(elapsed, 0.99), DIRECT_KINDS.quickRender.timeoutMs),
        informs("quick renders answered in time, share", kindInTime(records, "quickRender")),
        informs("labels answered in time, share", kindInTime(records, "label")),
        informs("lens readings answered in time, share", kindInTime(records, "lensReading")),
        informs("glaze previews answered in time, share", kindInTime(records, "glazePreview")),
        informs("missed requests refused early, share", share(missed.filter(isToldEarly).length, missed.length)),
        atMost(
            "refusals of requests that had run",
            records.filter(({ outcome, executions }) => outcome === "refused" && executions > 0).length,
            0,
        ),
        atMost(
            "non-idempotent requests that ran twice",
            records.filter(({ arrival, executions }) => !DIRECT_KINDS[arrival.kind].idempotent && executions > 1)
                .length,
            0,
        ),
        atMost("requests sent to a leaving executor after 3 s", counters.sentAfterLeaving, 0),
        informs("retries, share of attempts", share(retried, attempts)),
        informs("busy refusals, share of attempts", share(sumOf(records, record => record.busyRefusals), attempts)),
        informs("lens readings of the small team answered in time, share", kindInTime(small, "lensReading")),
        informs("bytes between data centres, MB", sumOf(records, record => record.bytesBetweenDataCentres) / 1e6),
    ];
};
