import { readFileSync } from "node:fs";

/** Clock ticks a second in /proc/PID/stat; the same on every Linux that Node.js 20 runs on. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_048_576;

/** Processor time and memory of a process at one moment. */
export interface ProcessUsage {
    readonly cpuSeconds: number;
    readonly residentMb: number;
}

/** Reads the usage of a process of this user from /proc. */
export const readUsage = (pid: number): ProcessUsage => {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The second field is the command in brackets and may hold spaces; user and system time are fields 14 and 15.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const pages = Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]);
    return { cpuSeconds: ticks / TICKS_PER_SECOND, residentMb: pages * PAGE_BYTES / BYTES_PER_MB };
};

/** Share of one core in percent between two readings. */
export const corePercent = (before: ProcessUsage, after: ProcessUsage, elapsedMs: number): number =>
    (after.cpuSeconds - before.cpuSeconds) / (elapsedMs / 1_000) * 100;

/** Processor time of all ended children of this process; user and system time are fields 16 and 17. */
export const readChildrenSeconds = (): number => {
    const stat = readFileSync("/proc/self/stat", "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[13]) + Number(fields[14])) / TICKS_PER_SECOND;
};
