/** Ideas of the policy; a benchmark turns them off one by one. */
export interface PlacementOptions {
    /** Guaranteed work goes first, in cells bound to its team. */
    readonly guarantees: boolean;
    /** Guaranteed work may stop borrowers. */
    readonly reclaim: boolean;
    /** Urgent work may stop other work of its own team in the team's cells. */
    readonly urgentTakesOver: boolean;
    /** The tightest VM that fits is preferred to the first one. */
    readonly bestFit: boolean;
    /** Cells bound to no guarantee are preferred. */
    readonly avoidBoundCells: boolean;
    /** The first job that does not fit keeps its place. */
    readonly reservation: boolean;
    /** Jobs behind a reservation may use its VMs while that delays nothing. */
    readonly backfill: boolean;
    /** Run times learned from earlier jobs replace declared ones. */
    readonly runTimeCorrection: boolean;
    readonly fairShare: boolean;
    readonly ageing: boolean;
    readonly neededBySlack: boolean;
    readonly shortFirst: boolean;
    /** The first large gang that waits may stop work that ranks below it. */
    readonly preemptForLargeGang: boolean;
    /**
     * A job that would miss its needed-by time may stop work that ranks below it. Off: over 8 h it made more jobs late than
     * it saved, because the work that it stops starts again.
     */
    readonly preemptForNeededBy: boolean;
    /** Urgent and interactive jobs may stop batch and best-effort work. */
    readonly preemptForInteractive: boolean;
    /** Long work that writes no checkpoints borrows no cells. */
    readonly shortBorrowers: boolean;
    /** Work is stopped for work without a guarantee only where little is lost, and a gang waits before it stops more. */
    readonly boundedPreemption: boolean;
    /** Victims are those that lose the least work; otherwise the oldest are stopped first. */
    readonly leastWorkLost: boolean;
    /** A quarantined worker gets one task as a probe. */
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
