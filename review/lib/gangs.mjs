// Gangs of runs, across executors: the members of one run number work only together and end together.
const GANG_TIMEOUT_MS = 3_000;

/** The gangs of all executors of a case. */
export class Gangs {
    gangs = new Map();

    /**
     * Adds a run. `failingIndex` names the member that fails when the work is over; the others are then broken.
     * `run.end(how)` ends a member.
     */
    join(run, { size, workMs, failingIndex }) {
        const key = `${run.task.split(".").slice(0, 3).join(".")}#${run.run}`;
        const gang = this.gangs.get(key) ?? { key, members: new Set() };
        this.gangs.set(key, gang);
        gang.members.add(run);
        run.gang = gang;
        run.timer = setTimeout(() => {
            run.end("alone");
        }, GANG_TIMEOUT_MS);
        if (gang.members.size < size) {
            return;
        }
        gang.members.forEach(member => {
            clearTimeout(member.timer);
            member.startedAt = performance.now();
        });
        gang.timer = setTimeout(() => {
            const members = [...gang.members];
            const failing = members.find(({ task }) => Number(task.split(".").at(-1)) === failingIndex);
            if (failing === undefined) {
                this.dissolve(gang);
                members.forEach(member => {
                    member.end("done");
                });
            }
            else {
                failing.end("failed");
            }
        }, workMs);
    }

    dissolve(gang) {
        clearTimeout(gang.timer);
        gang.members.clear();
        this.gangs.delete(gang.key);
    }

    /** Takes out a run that ends; a gang that was at work is broken. */
    leave(run) {
        const { gang } = run;
        if (gang?.members.delete(run) === true && gang.timer !== undefined) {
            const others = [...gang.members];
            this.dissolve(gang);
            others.forEach(other => {
                other.end("broken");
            });
        }
    }
}
