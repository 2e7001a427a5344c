__all__ = ['ttypes', 'constants', 'Control']
