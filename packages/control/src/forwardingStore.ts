import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type {
    CommitError,
    Committed,
    ReadError,
    RowChanges,
    RowPage,
    RowRange,
    RowTransaction,
} from "@persimmonpitch/workload/storedRow.js";
import type { Result } from "true-myth";
import type { RowStore } from "./rowStore.js";

/** After a failed direct call, calls go to a peer first for this long. */
const AVOID_DIRECT_MS: Millis = 1_000;

/** What a forwarding store works on. */
export interface ForwardingStoreOptions {
    readonly direct: RowStore;
    /** Stores that make the call through a peer, best first. */
    readonly peers: () => readonly RowStore[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly name: string;
}

/** A store that makes its calls through a peer while the store refuses this process. */
export class ForwardingStore implements RowStore {
    private avoidDirectUntil: Millis = 0;

    constructor(private readonly options: ForwardingStoreOptions) {}

    async commit(transaction: RowTransaction): Promise<Result<Committed, CommitError>> {
        return this.tryEach(
            store => store.commit(transaction),
            // An unclear commit may have taken effect; only the caller knows whether it can be repeated.
            error => error.kind === "unavailable",
            error => error.kind === "unavailable" || error.kind === "unclear",
        );
    }

    async scan(range: RowRange): Promise<Result<RowPage, ReadError>> {
        return this.tryEach(store => store.scan(range), isUnavailable, isUnavailable);
    }

    async follow(after: number, waitMs: Millis, signal?: AbortSignal): Promise<Result<RowChanges, ReadError>> {
        return this.tryEach(store => store.follow(after, waitMs, signal), isUnavailable, isUnavailable, signal);
    }

    private async tryEach<T, E>(
        call: (store: RowStore) => Promise<Result<T, E>>,
        isCertainlyNotDone: (error: E) => boolean,
        isSignOfTrouble: (error: E) => boolean,
        signal?: AbortSignal,
    ): Promise<Result<T, E>> {
        const { direct, peers, clock, logger, name } = this.options;
        const [peer] = peers();
        const isAvoiding = peer !== undefined && clock.now() < this.avoidDirectUntil;
        const first = isAvoiding ? peer : direct;
        const outcome = await call(first);
        if (outcome.isOk || signal?.aborted === true) {
            return outcome;
        }
        if (first === direct && isSignOfTrouble(outcome.error)) {
            this.avoidDirectUntil = clock.now() + AVOID_DIRECT_MS;
            logger.log("debug", "store.directFailed", { table: name });
        }
        if (!isCertainlyNotDone(outcome.error)) {
            return outcome;
        }
        const second = isAvoiding ? direct : peer;
        return second === undefined ? outcome : call(second);
    }
}

const isUnavailable = (error: ReadError): boolean => error.kind === "unavailable";
