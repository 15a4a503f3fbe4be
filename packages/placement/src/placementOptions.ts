/** Features of the placement policy that can be switched off, as the ablations of the benchmark do. */
export interface PlacementOptions {
    /** Jobs that fit a guarantee of their team are placed first, in the cells bound to it. */
    readonly guarantees: boolean;
    /** Guaranteed jobs may preempt borrowers, which are preemptible jobs in bound cells that do not use the instance. */
    readonly reclaim: boolean;
    /** Urgent jobs may take over guaranteed instances that other jobs of their team use. */
    readonly urgentTakesOver: boolean;
    /** The VM of lowest cost is preferred to the first one that fits. */
    readonly bestFit: boolean;
    /** Accelerators outside bound cells are preferred. */
    readonly avoidBoundCells: boolean;
    /** VMs are reserved for the first job that does not fit, and for the first such large gang. */
    readonly reservation: boolean;
    /** Jobs may use reserved VMs if that does not delay the reserving job. */
    readonly backfill: boolean;
    /** Run times are predicted from earlier jobs instead of taken as declared. */
    readonly runTimeCorrection: boolean;
    /** Teams that use more of their fair share come later within a class. */
    readonly fairShare: boolean;
    /** Waiting raises the rank of a job. */
    readonly ageing: boolean;
    /** Little slack before the needed-by time raises the rank of a job. */
    readonly neededBySlack: boolean;
    /** Short jobs come first within a class. */
    readonly shortFirst: boolean;
    /** The first large gang in the queue may preempt jobs that rank below it. */
    readonly preemptForLargeGang: boolean;
    /**
     * A job that would miss its needed-by time may preempt jobs that rank below it. Off by default: over 8 h it made more
     * jobs late than it saved, because preempted jobs start again.
     */
    readonly preemptForNeededBy: boolean;
    /** Urgent and interactive jobs may preempt jobs that are at least two classes below them. */
    readonly preemptForInteractive: boolean;
    /** Long jobs without checkpoints do not borrow cells. */
    readonly shortBorrowers: boolean;
    /**
     * Jobs without a guarantee preempt others only if little work is lost. A large gang may preempt more once no
     * non-preemptible job from before its submission runs.
     */
    readonly boundedPreemption: boolean;
    /** Victims are the jobs that lose the least work; otherwise the oldest are preempted first. */
    readonly leastWorkLost: boolean;
    /** An idle quarantined worker gets one task as a probe. */
    readonly probes: boolean;
}

export const DEFAULT_PLACEMENT_OPTIONS: PlacementOptions = {
    guarantees: true,
    reclaim: true,
    urgentTakesOver: true,
    bestFit: true,
    avoidBoundCells: true,
    reservation: true,
    backfill: true,
    runTimeCorrection: true,
    fairShare: true,
    ageing: true,
    neededBySlack: true,
    shortFirst: true,
    preemptForLargeGang: true,
    preemptForNeededBy: false,
    preemptForInteractive: true,
    shortBorrowers: true,
    boundedPreemption: true,
    leastWorkLost: true,
    probes: true,
};
