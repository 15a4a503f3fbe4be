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
import type { DirectPath } from "./directPath.js";
import type { RowStore } from "./rowStore.js";

/** After a failed call through a peer, calls go through other peers first for this long. */
const AVOID_PEER_MS: Millis = 2_000;

/** A store that makes the call through a peer. */
export interface PeerRoute {
    readonly vm: string;
    readonly store: RowStore;
}

/** What a forwarding store works on. */
export interface ForwardingStoreOptions {
    readonly direct: RowStore;
    readonly path: DirectPath;
    /** Ways through peers, best first. */
    readonly peers: () => readonly PeerRoute[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly name: string;
}

/** How the errors of one kind of call are judged. */
interface ErrorRules<E> {
    readonly isCertainlyNotDone: (error: E) => boolean;
    readonly isSignOfTrouble: (error: E) => boolean;
    /** Whether a call of this kind may find out if the store answers again; it must be harmless when it is not answered. */
    readonly mayProbe: boolean;
}

/** One call of a store; a probe finds out whether the store answers and should not last. */
type StoreCall<T, E> = (store: RowStore, isProbe: boolean) => Promise<Result<T, E>>;

const COMMIT_RULES: ErrorRules<CommitError> = {
    // An unclear commit may have taken effect; only the caller knows whether it can be repeated.
    isCertainlyNotDone: error => error.kind === "unavailable",
    isSignOfTrouble: error => error.kind === "unavailable" || error.kind === "unclear",
    mayProbe: false,
};

const isUnavailable = (error: ReadError): boolean => error.kind === "unavailable";

const READ_RULES: ErrorRules<ReadError> = {
    isCertainlyNotDone: isUnavailable,
    isSignOfTrouble: isUnavailable,
    mayProbe: true,
};

/** A store that makes its calls through a peer while the store does not serve this process. */
export class ForwardingStore implements RowStore {
    /** Until when each peer is avoided, because the store may refuse it as well. */
    private readonly avoidedUntil = new Map<string, Millis>();

    constructor(private readonly options: ForwardingStoreOptions) {}

    async commit(transaction: RowTransaction): Promise<Result<Committed, CommitError>> {
        return this.tryEach(store => store.commit(transaction), COMMIT_RULES);
    }

    async scan(range: RowRange): Promise<Result<RowPage, ReadError>> {
        return this.tryEach(store => store.scan(range), READ_RULES);
    }

    async follow(after: number, waitMs: Millis, signal?: AbortSignal): Promise<Result<RowChanges, ReadError>> {
        // A probe does not wait for changes, so that a store that is silent holds it up for one time limit only.
        return this.tryEach(
            (store, isProbe) => store.follow(after, isProbe ? 0 : waitMs, signal),
            READ_RULES,
            signal,
        );
    }

    private async tryEach<T, E>(
        call: StoreCall<T, E>,
        rules: ErrorRules<E>,
        signal?: AbortSignal,
    ): Promise<Result<T, E>> {
        const { path, direct } = this.options;
        const peer = this.bestPeer();
        const isProbe = path.isSuspect && rules.mayProbe && path.takeProbe();
        const isDetour = peer !== undefined && path.isSuspect && !isProbe;
        const through = (way: PeerRoute | undefined) =>
            this.callOne(() => call(way?.store ?? direct, isProbe), rules, way, signal);
        const outcome = await through(isDetour ? peer : undefined);
        const isOver = outcome.isOk || signal?.aborted === true || !rules.isCertainlyNotDone(outcome.error);
        return isOver || peer === undefined ? outcome : through(isDetour ? undefined : peer);
    }

    /** Makes a call through a peer, or directly without one, and notes what that shows of the way. */
    private async callOne<T, E>(
        call: () => Promise<Result<T, E>>,
        { isSignOfTrouble }: ErrorRules<E>,
        peer: PeerRoute | undefined,
        signal: AbortSignal | undefined,
    ): Promise<Result<T, E>> {
        const { path, clock, logger, name } = this.options;
        const outcome = await call();
        const isTrouble = outcome.isErr && isSignOfTrouble(outcome.error);
        if (isTrouble && signal?.aborted === true) {
            // A call that was aborted says nothing of the way.
            return outcome;
        }
        if (peer !== undefined && isTrouble) {
            this.avoidedUntil.set(peer.vm, clock.now() + AVOID_PEER_MS);
            logger.log("debug", "store.peerFailed", { table: name, vm: peer.vm });
        }
        else if (peer === undefined && isTrouble) {
            path.noteFailure();
            logger.log("debug", "store.directFailed", { table: name });
        }
        else if (peer === undefined) {
            path.noteAnswer();
        }
        return outcome;
    }

    /** The first peer that did not fail lately, or else the first. */
    private bestPeer(): PeerRoute | undefined {
        const now = this.options.clock.now();
        const peers = this.options.peers();
        return peers.find(({ vm }) => (this.avoidedUntil.get(vm) ?? 0) <= now) ?? peers[0];
    }
}
