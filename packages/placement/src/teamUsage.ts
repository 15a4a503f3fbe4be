import type { Team } from "@persimmonpitch/schema/configuration.js";
import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { ClusterView } from "./clusterView.js";
import { gangAccelerators } from "./jobTraits.js";

const DEFAULT_WEIGHT = 1;

/** Accelerators allocated to each team, compared with its quota and its fair share. */
export class TeamUsage {
    readonly #teams: ReadonlyMap<string, Team>;
    readonly #allocatedByTeam = new Map<string, number>();
    readonly #acceleratorsPerWeight: number;

    constructor({ teams, vms, placed, queued }: ClusterView) {
        this.#teams = new Map(teams.map(team => [team.id, team]));
        for (const { spec } of placed) {
            this.addJob(spec);
        }
        // Only teams with placed or waiting jobs count, so that no share is set aside for an inactive team.
        const active = new Set([...this.#allocatedByTeam.keys(), ...queued.map(({ spec }) => spec.team)]);
        const weights = [...active].reduce((sum, team) => sum + this.#weightOf(team), 0);
        const accelerators = vms.reduce((sum, vm) => sum + vm.accelerators, 0);
        this.#acceleratorsPerWeight = accelerators / Math.max(weights, Number.MIN_VALUE);
    }

    addJob({ team, gang }: JobSpec): void {
        this.#allocatedByTeam.set(team, this.allocatedAccelerators(team) + gangAccelerators(gang));
    }

    allocatedAccelerators(team: string): number {
        return this.#allocatedByTeam.get(team) ?? 0;
    }

    quotaAccelerators(team: string): number {
        return this.#teams.get(team)?.quotaAccelerators ?? Infinity;
    }

    isOverQuota({ team, gang }: JobSpec): boolean {
        return this.allocatedAccelerators(team) + gangAccelerators(gang) > this.quotaAccelerators(team);
    }

    /** Accelerators of the team if all were divided among the active teams by weight. */
    fairShare(team: string): number {
        return this.#acceleratorsPerWeight * this.#weightOf(team);
    }

    /** Allocated accelerators as a fraction of the fair share. */
    fairShareUsed(team: string): number {
        const share = this.fairShare(team);
        return share === 0 ? 0 : this.allocatedAccelerators(team) / share;
    }

    #weightOf(team: string): number {
        return this.#teams.get(team)?.weight ?? DEFAULT_WEIGHT;
    }
}
