import type { DirectRow } from "./directMeasures.js";
import { measureDirect } from "./directMeasures.js";
import { replayDirect } from "./directReplay.js";
import type { DirectReplayOptions } from "./directSettings.js";
import { DEFAULT_DIRECT_REPLAY_OPTIONS } from "./directSettings.js";

/** Runs one replay and returns its measures. */
export const directRows = (options: Partial<DirectReplayOptions> = {}): readonly DirectRow[] => {
    const complete = { ...DEFAULT_DIRECT_REPLAY_OPTIONS, ...options };
    return measureDirect(replayDirect(complete), complete);
};
