const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/** Numbers in [0, 1) that depend on the seed only (Lehmer's generator). */
export const seededRandom = (seed: number): () => number => {
    let state = seed % (MODULUS - 1) + 1;
    return () => {
        state = state * MULTIPLIER % MODULUS;
        return (state - 1) / (MODULUS - 1);
    };
};
