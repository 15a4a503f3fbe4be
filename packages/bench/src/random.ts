/** A seeded source of pseudo-random numbers. */
export interface Random {
    /** Uniform in [0, 1). */
    uniform(): number;
    /** True with this probability. */
    chance(probability: number): boolean;
    /** Exponential with this mean. */
    exponential(mean: number): number;
    /** Log-normal with this median; `sigma` is the standard deviation of the logarithm. */
    logNormal(median: number, sigma: number): number;
    /** One of `items`, each as likely as the others. */
    pick<T>(items: readonly T[]): T;
}

const UINT32_RANGE = 2 ** 32;

/** The mulberry32 generator: 32 bits of state are enough for traces of some 100,000 draws. */
const mulberry32 = (seed: number): () => number => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
    };
};

/** Makes a generator; equal seeds give equal sequences. */
export const seededRandom = (seed: number): Random => {
    const uniform = mulberry32(seed);
    // Box-Muller; 1 - uniform() avoids the logarithm of zero.
    const normal = () => Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform());
    return {
        uniform,
        chance: probability => uniform() < probability,
        exponential: mean => -mean * Math.log(1 - uniform()),
        logNormal: (median, sigma) => median * Math.exp(sigma * normal()),
        pick: items => {
            const item = items[Math.floor(uniform() * items.length)];
            if (item === undefined) {
                throw new RangeError("cannot pick from an empty list");
            }
            return item;
        },
    };
};
