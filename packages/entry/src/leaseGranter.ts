import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { LeaseGrant } from "@persimmonpitch/protocol/agentMessages.js";
import type { ResultOf } from "@persimmonpitch/protocol/method.js";
import type { PeerMethods } from "@persimmonpitch/protocol/peerMessages.js";
import { AGENT_LEASE_MS } from "@persimmonpitch/scheduler/leaseTimes.js";

type PeerAnswer = ResultOf<PeerMethods["peer.report"]>;

/** What this entry may grant to its agents: without limit of its own while it holds the role, else by the holder. */
export class LeaseGranter {
    private epoch = 0;
    private holder: string | undefined;
    private grantedUntil: Millis = 0;
    private full: ReadonlySet<string> = new Set();

    constructor(private readonly clock: Clock, private readonly ownEpoch: () => number | undefined) {}

    get highestEpoch(): number {
        return Math.max(this.epoch, this.ownEpoch() ?? 0);
    }

    /** Whether this entry holds the role. */
    get isHolder(): boolean {
        return this.ownEpoch() !== undefined;
    }

    /** The peer that holds the role, as far as this entry knows. */
    get holderId(): string | undefined {
        return this.holder;
    }

    /** Takes the answer of a peer; the grant counts from when the call was sent. */
    accept(peerId: string, answer: PeerAnswer, sentAt: Millis): void {
        if (answer.isHolder && answer.epoch >= this.epoch) {
            this.epoch = answer.epoch;
            this.holder = peerId;
            this.full = new Set(answer.fullTeams);
            this.grantedUntil = Math.max(this.grantedUntil, sentAt + answer.grantMs);
        }
        else if (this.holder === peerId && !answer.isHolder) {
            this.holder = undefined;
        }
    }

    /** Whether the holder said that the team's queue is at its limit. */
    isQueueFull(team: string): boolean {
        return this.holder !== undefined && this.full.has(team);
    }

    /** The grant for an agent of this entry. */
    grant(configVersion: number): LeaseGrant {
        const own = this.ownEpoch();
        if (own !== undefined && own >= this.epoch) {
            return { epoch: own, grantMs: AGENT_LEASE_MS, configVersion };
        }
        const left = Math.max(0, this.grantedUntil - this.clock.now());
        return { epoch: this.epoch, grantMs: Math.min(AGENT_LEASE_MS, left), configVersion };
    }
}
