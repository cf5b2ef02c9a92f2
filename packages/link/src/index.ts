/** JSON-RPC links between the system's processes over kept-alive HTTP, batched and authenticated. */
export {}
