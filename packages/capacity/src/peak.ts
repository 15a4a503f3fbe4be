const WINDOW_MS = 1_000;

/** Most events within any one second. */
export const peakPerSecond = (times: readonly number[]): number => {
    const sorted = times.toSorted((a, b) => a - b);
    let first = 0;
    let peak = 0;
    sorted.forEach((time, index) => {
        while ((sorted[first] ?? time) <= time - WINDOW_MS) {
            first += 1;
        }
        peak = Math.max(peak, index - first + 1);
    });
    return peak;
};
