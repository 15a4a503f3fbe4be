import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { LeaseGrant } from "@persimmonpitch/protocol/agentMessages.js";
import type { ResultOf } from "@persimmonpitch/protocol/method.js";
import type { PeerMethods } from "@persimmonpitch/protocol/peerMessages.js";
import { AGENT_LEASE_MS } from "@persimmonpitch/scheduler/leaseTimes.js";

type PeerAnswer = ResultOf<PeerMethods["peer.report"]>;

/**
 * Determines the leases that this entry grants to its agents. The role holder grants full leases; any other entry grants
 * at most the time that the holder has granted to it.
 */
export class LeaseGranter {
    private knownEpoch = 0;
    private knownHolderId: string | undefined;
    private grantedUntil: Millis = 0;
    private teamsAtQueueLimit: ReadonlySet<string> = new Set();

    constructor(private readonly clock: Clock, private readonly getOwnEpoch: () => number | undefined) {}

    get highestEpoch(): number {
        return Math.max(this.knownEpoch, this.getOwnEpoch() ?? 0);
    }

    /** Whether this entry holds the scheduling role. */
    get isHolder(): boolean {
        return this.getOwnEpoch() !== undefined;
    }

    /** Id of the peer that holds the scheduling role, if one is known. */
    get holderPeerId(): string | undefined {
        return this.knownHolderId;
    }

    /** Applies a peer's answer to a report. Its grant counts from the time at which the report was sent. */
    recordPeerAnswer(peerId: string, answer: PeerAnswer, sentAt: Millis): void {
        if (answer.isHolder && answer.epoch >= this.knownEpoch) {
            this.knownEpoch = answer.epoch;
            this.knownHolderId = peerId;
            this.teamsAtQueueLimit = new Set(answer.fullTeams);
            this.grantedUntil = Math.max(this.grantedUntil, sentAt + answer.grantMs);
        }
        else if (this.knownHolderId === peerId && !answer.isHolder) {
            this.knownHolderId = undefined;
        }
    }

    /** Whether the role holder reported that the team's queue is at its limit. */
    isTeamAtQueueLimit(team: string): boolean {
        return this.knownHolderId !== undefined && this.teamsAtQueueLimit.has(team);
    }

    /** Creates the grant for an agent that is connected to this entry. */
    grant(configVersion: number): LeaseGrant {
        const ownEpoch = this.getOwnEpoch();
        if (ownEpoch !== undefined && ownEpoch >= this.knownEpoch) {
            return { epoch: ownEpoch, grantMs: AGENT_LEASE_MS, configVersion };
        }
        const remainingMs = Math.max(0, this.grantedUntil - this.clock.now());
        return { epoch: this.knownEpoch, grantMs: Math.min(AGENT_LEASE_MS, remainingMs), configVersion };
    }
}
