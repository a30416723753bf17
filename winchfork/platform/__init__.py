"""Translation between the platform's wire and the router: names, documents, calls; nothing else."""
