import type { ClusterView } from "@persimmonpitch/placement/clusterView.js";
import type { PlacementDecisions } from "@persimmonpitch/placement/placementDecisions.js";
import { placementPass } from "@persimmonpitch/placement/placementPass.js";
import { anyFirstFit, deadlineOracle, fifoBackfill, fifoFirstFit, strictPriority } from "./baselines.js";

/** Ideas of the real policy that are switched on or off; an idea that is not named keeps its default. */
export type PolicyOptions = Readonly<Record<string, boolean>>;

/** Where a policy's run times come from. */
export type RunTimeSource = "learned" | "true";

/** One way to place jobs. */
export interface Policy {
    readonly description: string;
    readonly runTimes: RunTimeSource;
    /** Whether the policy takes part in a comparison when none is named. */
    readonly isCompared: boolean;
    pass(view: ClusterView, options: PolicyOptions): PlacementDecisions;
}

/** Names of policies. */
export type PolicyName =
    | "persimmonpitch"
    | "fifoFirstFit"
    | "fifoBackfill"
    | "strictPriority"
    | "anyFirstFit"
    | "deadlineOracle";

/** All policies by name. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
    persimmonpitch: {
        description: "the placement pass of packages/placement",
        runTimes: "learned",
        isCompared: true,
        pass: placementPass,
    },
    fifoFirstFit: {
        description: "order of submission, first VMs that fit, nothing overtakes",
        runTimes: "learned",
        isCompared: true,
        pass: fifoFirstFit,
    },
    fifoBackfill: {
        description: "order of submission, EASY backfill on declared run times",
        runTimes: "learned",
        isCompared: true,
        pass: fifoBackfill,
    },
    strictPriority: {
        description: "order of class, every job that fits, no guarantees",
        runTimes: "learned",
        isCompared: true,
        pass: strictPriority,
    },
    anyFirstFit: {
        description: "order of submission, every job that fits (for information)",
        runTimes: "learned",
        isCompared: false,
        pass: anyFirstFit,
    },
    deadlineOracle: {
        description: "earliest needed-by time with true run times (reference for feasibility)",
        runTimes: "true",
        isCompared: false,
        pass: deadlineOracle,
    },
};

/** Whether this is the name of a policy. */
export const isPolicyName = (name: string): name is PolicyName => Object.hasOwn(POLICIES, name);

/** Policies that a run compares when none is named. */
export const comparedPolicies = (): PolicyName[] =>
    Object.keys(POLICIES).filter(isPolicyName).filter(name => POLICIES[name].isCompared);
