import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { PeerLinks } from "./peerLinks.js";
import type { Replica } from "./replica.js";

/** An entry whose VM has less than this share of the processor of the best peer lets the better peers go first. */
const SUFFICIENT_SHARE = 0.6;
/** An entry whose VM has less than this share hands the role over. Well below the other, so that it does not return. */
const HANDOVER_SHARE = 0.5;
/** How long an entry lets better peers go first. It bounds the delay where none of them takes the role. */
const YIELD_MS: Millis = 250;
/** How long a better peer has to be in reach before the role is handed over to it. */
const HANDOVER_AFTER_MS: Millis = 4_000;

export interface ControllerSuitabilityOptions {
    /** Processor of this VM in cores; undefined if the settings do not say. */
    readonly cores: number | undefined;
    readonly replica: Replica;
    readonly peers: PeerLinks;
    readonly clock: Clock;
}

/** Compares the VM of this entry with those of its peers, as a controller needs more processor time than other entries. */
export class ControllerSuitability {
    private vacantSince: Millis | undefined;
    private outclassedSince: Millis | undefined;

    constructor(private readonly options: ControllerSuitabilityOptions) {}

    /** Called while the role may be taken; returns whether this entry should let better peers take it first. */
    shouldYield(): boolean {
        const now = this.options.clock.now();
        this.vacantSince ??= now;
        return this.ownShare < SUFFICIENT_SHARE && now - this.vacantSince < YIELD_MS;
    }

    /** Called while the role may not be taken. */
    resetYield(): void {
        this.vacantSince = undefined;
    }

    /** Called by a controller at each pass; returns whether it should hand the role over. */
    shouldHandOver(): boolean {
        const now = this.options.clock.now();
        if (this.ownShare >= HANDOVER_SHARE) {
            this.outclassedSince = undefined;
            return false;
        }
        this.outclassedSince ??= now;
        return now - this.outclassedSince >= HANDOVER_AFTER_MS;
    }

    /** Called when this entry takes the role, so that it holds it for a while. */
    resetHandOver(): void {
        this.outclassedSince = undefined;
    }

    /** Processor of this VM as a share of that of the best peer that could be the controller; at most 1. */
    private get ownShare(): number {
        const { cores, replica, peers } = this.options;
        if (cores === undefined) {
            return 1;
        }
        const best = peers.vmsServedByStore()
            .reduce((most, vm) => Math.max(most, replica.entries.get(vm)?.value.cores ?? 0), cores);
        return cores / best;
    }
}
