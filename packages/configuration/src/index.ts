/** Templates, customers, quotas, objectives and policy: publishing, checking and applying them. */
export {}
