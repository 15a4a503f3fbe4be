import type { EndKind } from "@persimmonpitch/workload/executorReport.js";

/** A run of a gang, as the other members see it. */
export interface GangMember {
    readonly gang: string;
    readonly gangSize: number;
    /** Work per millisecond that its executor allows now. */
    pace(): number;
    /** Counts the work up to now, before the gang changes. */
    settle(): void;
    /** Ends the run because of another member. */
    end(kind: EndKind): void;
    /** Tells the executor that the member's pace may have changed. */
    wake(): void;
}

/** Ends of one member that count for the others as their own; every other end breaks the gang. */
const SHARED_ENDS: ReadonlySet<EndKind> = new Set(["done"]);

/** The gangs of the runs on all in-memory executors that share this object. */
export class MemoryGangs {
    private readonly members = new Map<string, Set<GangMember>>();

    join(member: GangMember): void {
        const gang = this.members.get(member.gang) ?? new Set();
        this.settle(gang);
        gang.add(member);
        this.members.set(member.gang, gang);
        this.wakeGangOf(member);
    }

    /** Removes a member that ended; without a kind it vanished with its executor. */
    leave(member: GangMember, kind?: EndKind): void {
        const gang = this.members.get(member.gang);
        if (gang?.has(member) !== true) {
            return;
        }
        this.settle(gang);
        gang.delete(member);
        if (gang.size === 0) {
            this.members.delete(member.gang);
        }
        const shared = kind !== undefined && SHARED_ENDS.has(kind) ? kind : "broken";
        [...gang].forEach(other => {
            other.end(shared);
        });
    }

    /** Counts the work of all members up to now, before the pace of one of them changes. */
    settleGangOf(member: GangMember): void {
        this.settle(this.members.get(member.gang) ?? new Set());
    }

    /** Tells the executors of all members that the pace may have changed. */
    wakeGangOf(member: GangMember): void {
        this.members.get(member.gang)?.forEach(other => {
            other.wake();
        });
    }

    isComplete(member: GangMember): boolean {
        return (this.members.get(member.gang)?.size ?? 0) >= member.gangSize;
    }

    /** Work per millisecond of each member: none until all are present, then that of the slowest. */
    pace(member: GangMember): number {
        const gang = this.members.get(member.gang);
        return gang === undefined || gang.size < member.gangSize
            ? 0
            : Math.min(...[...gang].map(other => other.pace()));
    }

    private settle(gang: ReadonlySet<GangMember>): void {
        gang.forEach(member => {
            member.settle();
        });
    }
}
