import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import type { BinaryProcess } from "./binaryProcess.js";
import type { CountingRelay, RelayBytes } from "./countingRelay.js";
import { bytesBetween } from "./countingRelay.js";
import { corePercent } from "./processUsage.js";
import type { TestEntry } from "./testbed.js";

/** Which relays carry the traffic of a process, and on which side of each it stands. */
export interface WatchedProcess {
    readonly process: BinaryProcess;
    readonly asTarget: readonly CountingRelay[];
    readonly asClient: readonly CountingRelay[];
}

/** An entry process with all its connections. */
export const watchedEntry = ({ process, agents, peersIn, peersOut, table }: TestEntry): WatchedProcess => ({
    process,
    asTarget: [agents, ...peersIn],
    asClient: [...peersOut, table],
});

/** Use of one process over a stretch of time. */
export interface StretchUse {
    readonly corePercent: number;
    readonly residentMb: number;
    readonly sentPerSecond: number;
    readonly receivedPerSecond: number;
}

const MS_PER_SECOND = 1_000;

const sum = (
    relays: readonly CountingRelay[],
    before: ReadonlyMap<CountingRelay, RelayBytes>,
    side: keyof RelayBytes,
): number =>
    relays.reduce((total, relay) => total + bytesBetween(before.get(relay) ?? relay.bytes, relay.bytes)[side], 0);

/** Watches processes over a stretch of time; memory is that at its end. */
export const watch = async (
    watched: readonly WatchedProcess[],
    stretchMs: number,
): Promise<readonly StretchUse[]> => {
    const before = watched.map(({ process }) => process.usage);
    const relays = new Set(watched.flatMap(({ asTarget, asClient }) => [...asTarget, ...asClient]));
    const bytes = new Map([...relays].map(relay => [relay, relay.bytes]));
    const startedAt = performance.now();
    await systemClock.sleep(stretchMs);
    const elapsedMs = performance.now() - startedAt;
    return watched.map(({ process, asTarget, asClient }, index) => {
        const after = process.usage;
        const sent = sum(asTarget, bytes, "fromTarget") + sum(asClient, bytes, "toTarget");
        const received = sum(asTarget, bytes, "toTarget") + sum(asClient, bytes, "fromTarget");
        return {
            corePercent: corePercent(before[index] ?? after, after, elapsedMs),
            residentMb: after.residentMb,
            sentPerSecond: sent / elapsedMs * MS_PER_SECOND,
            receivedPerSecond: received / elapsedMs * MS_PER_SECOND,
        };
    });
};

/** The uses as figures whose names begin with a prefix. */
export const figuresOf = (prefix: string, use: StretchUse): Record<string, number> => ({
    [`${prefix} core %`]: use.corePercent,
    [`${prefix} resident MB`]: use.residentMb,
    [`${prefix} sent B/s`]: use.sentPerSecond,
    [`${prefix} received B/s`]: use.receivedPerSecond,
});
