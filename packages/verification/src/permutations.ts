/** All orders of the numbers below `count`. */
const permutations = (count: number): readonly (readonly number[])[] =>
    count === 0
        ? [[]]
        : permutations(count - 1).flatMap(shorter =>
            Array.from({ length: count }, (_, at) => [...shorter.slice(0, at), count - 1, ...shorter.slice(at)])
        );

const PERMUTATIONS = new Map<number, readonly (readonly number[])[]>();

/** All orders of the numbers below `count`; they are computed once. */
export const permutationsOf = (count: number): readonly (readonly number[])[] => {
    const known = PERMUTATIONS.get(count) ?? permutations(count);
    PERMUTATIONS.set(count, known);
    return known;
};
