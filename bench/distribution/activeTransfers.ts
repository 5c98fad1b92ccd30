/** Transfer of a simulated swarm. */
export interface SimulatedTransfer<Agent> {
    readonly receiver: Agent;
    /** Undefined for the origin. */
    readonly sender: Agent | undefined;
    readonly startedAt: number;
}

/**
 * Selects the transfers that make progress. The others wait, since senders and receivers keep a limited number of
 * chunks in memory.
 *
 * @param transfers - all transfers in progress
 * @param slots - chunks that a sender keeps in memory; a receiver keeps twice as many
 * @param isStopped - true for an agent that sends nothing
 * @returns the transfers that make progress, oldest first
 */
export function selectActiveTransfers<Agent, Transfer extends SimulatedTransfer<Agent>>(
    transfers: readonly Transfer[],
    slots: number,
    isStopped: (agent: Agent) => boolean,
): Transfer[] {
    const uploads = new Map<Agent, number>();
    const downloads = new Map<Agent, number>();
    const oldestFirst = [...transfers].sort((left, right) => left.startedAt - right.startedAt);
    return oldestFirst.filter(({ receiver, sender }) => {
        if (sender !== undefined) {
            const sent = (uploads.get(sender) ?? 0) + 1;
            uploads.set(sender, sent);
            if (sent > Math.max(1, slots) || isStopped(sender)) {
                return false;
            }
        }
        const received = (downloads.get(receiver) ?? 0) + 1;
        downloads.set(receiver, received);
        return received <= Math.max(1, slots * 2);
    });
}
