/**
 * Processes items concurrently; they are started in their order.
 *
 * @param items - items to process
 * @param concurrency - maximum number of items in progress
 * @param processItem - processes one item; resolves to false to start no further items
 */
export async function runParallel<Item>(
    items: Iterable<Item>,
    concurrency: number,
    processItem: (item: Item) => Promise<boolean>,
): Promise<void> {
    const pending = [...items];
    const runWorker = async (): Promise<void> => {
        for (let item = pending.shift(); item !== undefined; item = pending.shift()) {
            if (!await processItem(item)) {
                pending.length = 0;
            }
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runWorker));
}
