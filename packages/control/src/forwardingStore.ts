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
    /** Stores that make the call through a peer. */
    readonly peers: () => readonly RowStore[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly name: string;
}

/** A store that makes its calls through a peer while the store refuses this process. */
export class ForwardingStore implements RowStore {
    private avoidDirectUntil: Millis = 0;
    /** Failures of peers; each makes the next peer's turn, because the store may refuse some of them as well. */
    private peerFailures = 0;

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
        const { direct, clock } = this.options;
        const peer = this.nextPeer();
        const isAvoiding = peer !== undefined && clock.now() < this.avoidDirectUntil;
        const first = isAvoiding ? peer : direct;
        const outcome = await call(first);
        if (outcome.isOk || signal?.aborted === true) {
            return outcome;
        }
        if (isSignOfTrouble(outcome.error)) {
            this.noteTrouble(first);
        }
        const second = isAvoiding ? direct : peer;
        if (second === undefined || !isCertainlyNotDone(outcome.error)) {
            return outcome;
        }
        const detour = await call(second);
        if (detour.isErr && isSignOfTrouble(detour.error)) {
            this.noteTrouble(second);
        }
        return detour;
    }

    private nextPeer(): RowStore | undefined {
        const peers = this.options.peers();
        return peers[this.peerFailures % Math.max(1, peers.length)];
    }

    private noteTrouble(store: RowStore): void {
        const { direct, clock, logger, name } = this.options;
        if (store !== direct) {
            this.peerFailures += 1;
            return;
        }
        this.avoidDirectUntil = clock.now() + AVOID_DIRECT_MS;
        logger.log("debug", "store.directFailed", { table: name });
    }
}

const isUnavailable = (error: ReadError): boolean => error.kind === "unavailable";
