import type { FencingToken } from "../../types/index.js";

/**
 * Compares fencing tokens by epoch, then agent start, then sequence.
 *
 * @param left - one token
 * @param right - the other token
 * @returns negative if `left` is older, 0 if both are the same, positive if `left` is newer
 */
export function compareFencingTokens(left: FencingToken, right: FencingToken): number {
    return left.epoch - right.epoch || left.agentStart - right.agentStart || left.sequence - right.sequence;
}
