import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { EvacuationState } from "@persimmonpitch/workload/evacuationState.js";

/** How the state reached this process. */
export interface EvacuationOrigin {
    /** Time between the store's previous response and the one with the state. */
    readonly silenceMs?: Millis | undefined;
    /** VM of the peer that it was read from, if it did not come from the store. */
    readonly peer?: string;
}

/** An evacuation row that was written or removed. */
export interface EvacuationChange {
    readonly dataCentre: string;
    readonly isEvacuated: boolean;
    /** Version of the change in the operator table. */
    readonly version: number;
}

/** Holds the latest set of evacuated data centres known to this process. Never reverts to an older version. */
export class EvacuationHolder {
    private latest: EvacuationState | undefined;
    private evacuated: ReadonlySet<string> = new Set();
    private readonly listeners = new Set<() => void>();

    constructor(private readonly logger: Logger) {}

    /** `undefined` until the rows have been read from the store or from a peer. */
    get current(): EvacuationState | undefined {
        return this.latest;
    }

    isEvacuated(dataCentre: string): boolean {
        return this.evacuated.has(dataCentre);
    }

    /** Calls `listener` after each change. Returns a function that unsubscribes it. */
    listen(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Replaces the state unless it is newer. */
    replaceIfNewer(state: EvacuationState, origin: EvacuationOrigin = {}): void {
        if (this.latest === undefined || state.version > this.latest.version) {
            this.replace(state, origin);
        }
    }

    /** Applies changes in the order of their versions. Those that the state already includes have no effect. */
    apply(changes: readonly EvacuationChange[], origin: EvacuationOrigin = {}): void {
        const { latest } = this;
        // Changes alone do not tell which other rows exist.
        if (latest === undefined) {
            return;
        }
        const newer = changes.filter(({ version }) => version > latest.version);
        const last = newer.at(-1);
        if (last === undefined) {
            return;
        }
        const dataCentres = new Set(latest.dataCentres);
        for (const { dataCentre, isEvacuated } of newer) {
            if (isEvacuated) {
                dataCentres.add(dataCentre);
            }
            else {
                dataCentres.delete(dataCentre);
            }
        }
        this.replace({ version: last.version, dataCentres: [...dataCentres] }, origin);
    }

    private replace(state: EvacuationState, { silenceMs, peer }: EvacuationOrigin): void {
        const before = this.evacuated;
        const wasKnown = this.latest !== undefined;
        this.latest = state;
        this.evacuated = new Set(state.dataCentres);
        const started = [...this.evacuated].filter(dataCentre => !before.has(dataCentre));
        const ended = [...before].filter(dataCentre => !this.evacuated.has(dataCentre));
        const fields = {
            version: state.version,
            peer,
            silenceMs: silenceMs === undefined ? undefined : Math.round(silenceMs),
        };
        for (const dataCentre of started) {
            this.logger.log("info", "evacuation.started", { dataCentre, ...fields });
        }
        for (const dataCentre of ended) {
            this.logger.log("info", "evacuation.ended", { dataCentre, ...fields });
        }
        if (!wasKnown || started.length > 0 || ended.length > 0) {
            for (const listener of this.listeners) {
                listener();
            }
        }
    }
}
