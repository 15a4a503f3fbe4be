import type { Team } from "@persimmonpitch/schema/configuration.js";
import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { ClusterView } from "./clusterView.js";
import { gangAccelerators } from "./jobTraits.js";

const DEFAULT_WEIGHT = 1;

/** Accelerators that each team holds, against its quota and its fair share. */
export class TeamUse {
    readonly #teams: ReadonlyMap<string, Team>;
    readonly #held = new Map<string, number>();
    readonly #acceleratorsPerWeight: number;

    constructor({ teams, vms, placed, queued }: ClusterView) {
        this.#teams = new Map(teams.map(team => [team.id, team]));
        for (const { spec } of placed) {
            this.add(spec);
        }
        // Only teams that hold or want accelerators share them, so that an absent team's part is not left idle.
        const active = new Set([...this.#held.keys(), ...queued.map(({ spec }) => spec.team)]);
        const weights = [...active].reduce((sum, team) => sum + this.#weightOf(team), 0);
        const accelerators = vms.reduce((sum, vm) => sum + vm.accelerators, 0);
        this.#acceleratorsPerWeight = accelerators / Math.max(weights, Number.MIN_VALUE);
    }

    add({ team, gang }: JobSpec): void {
        this.#held.set(team, this.held(team) + gangAccelerators(gang));
    }

    held(team: string): number {
        return this.#held.get(team) ?? 0;
    }

    quota(team: string): number {
        return this.#teams.get(team)?.quotaAccelerators ?? Infinity;
    }

    isOverQuota({ team, gang }: JobSpec): boolean {
        return this.held(team) + gangAccelerators(gang) > this.quota(team);
    }

    /** Accelerators that the team would hold if all were shared by weight. */
    fairShare(team: string): number {
        return this.#acceleratorsPerWeight * this.#weightOf(team);
    }

    /** Held accelerators as a part of the fair share. */
    shareUsed(team: string): number {
        const fair = this.fairShare(team);
        return fair === 0 ? 0 : this.held(team) / fair;
    }

    #weightOf(team: string): number {
        return this.#teams.get(team)?.weight ?? DEFAULT_WEIGHT;
    }
}
